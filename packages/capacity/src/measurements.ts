import {measureIdleCallers, measurePreparedStatements} from './measurements/callers.js';
import {measureClassification} from './measurements/classification.js';
import {measureGroups} from './measurements/groups.js';
import {measureMembers} from './measurements/members.js';
import {measureMonitorProcessorTime} from './measurements/monitorProcessorTime.js';
import {measureProxies} from './measurements/proxies.js';
import {measureStatements} from './measurements/statements.js';
import {type Measurement} from './types.js';

/** All measurements, in the order in which they run. */
export const measurements: readonly Measurement[] = [
	{id: 'classification', title: 'Classification of statement texts', run: measureClassification},
	{id: 'groups', title: 'Database groups', run: measureGroups},
	{id: 'members', title: 'Members of one deployment, simulated', run: measureMembers},
	{id: 'monitors', title: 'Monitored groups with sockets', run: measureMonitorProcessorTime},
	{id: 'callers', title: 'Idle callers', run: measureIdleCallers},
	{id: 'prepared', title: 'Prepared statements', run: measurePreparedStatements},
	{id: 'statements', title: 'Statements', run: measureStatements},
	{id: 'proxies', title: 'Proxies of one deployment', run: measureProxies},
];
