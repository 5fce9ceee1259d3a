export * from './admissionQueue.js';
export * from './connectionPool.js';
export {freshnessWaitMs, type HolderPorts} from './heldDatabase.js';
export * from './holder.js';
export {
	type AdmissionLimits, type ConnectionGate, type RankPolicy, type SlotGrant, type SlotRequest,
} from './rankState.js';
export {majorityWaitMs} from './localWork.js';
export * from './retryBudget.js';
export * from './stallGuard.js';
export * from './tcpBackendDialer.js';
export * from './workChannelPool.js';
export * from './workDispatcher.js';
export * from './workServer.js';
