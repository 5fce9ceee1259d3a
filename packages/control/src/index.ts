export {EtcdKeyValueStore, type EtcdKeyValueStoreOptions as EtcdOptions} from './etcdKeyValueStore.js';
export {HttpHostList, type HttpHostListOptions} from './httpHostList.js';
export {ConfigurationStore, type ConfigurationStoreOptions} from './configurationStore.js';
export {maximumWatcherRetryMs, watchSessionDurationMs} from './changeTiming.js';
export {type ChangeOutcome, type ConfigurationChange} from './changeAcceptor.js';
export {
	type ChangeSet, type ConfigurationEntry, type EntryKey, type InvalidEntry,
} from './configurationState.js';
export {maximumNotifiedNeighbours, type RendezvousOrder} from './peerPropagation.js';
export {type PlatformHealth} from './platformFollower.js';
export {
	startResourceApi, type ExplainRequest, type ResourceApi, type ResourceApiOptions,
} from './resourceApi.js';
export {type StatusReport} from './statusReporter.js';
export {
	computeConditions, type Condition, type ConditionInput, type ConditionType, type Severity,
} from './conditions.js';
