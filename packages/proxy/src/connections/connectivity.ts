import {type Clock} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {type ServiceView} from '../servers/serviceView.js';
import {isTrueWithin} from '../statements/withTimeout.js';
import {type ConnectivityCheck} from './isolationDetector.js';

/** Time in which a healthy store answers. The primaries are checked only after this time, because each check costs them a connection. */
const primaryCheckDelayMs = 60;

/** Checks for signs of a network partition: an unknown primary or a server that does not answer. */
export function isIsolationSuspected(services: readonly ServiceView[]): boolean {
	return services.some(view => view.currentPrimary === undefined || view.listBackends().some(backend => isSilent(backend)));
}

/** A server that has not answered for long since it was listed, or that another one replaced, is no sign of a partition. */
function isSilent(backend: Backend): boolean {
	const isKnownToBeMissing = backend.isReplacedAtAddress || backend.isUnconfirmed;
	return !isKnownToBeMissing && (backend.isSuspected || backend.noContactForMs > 0);
}

/**
 * Checks the connectivity to the store and, if it does not answer soon, to all primaries.
 * @param services - services whose primaries are checked
 * @param clock - clock that measures the delay before the primaries are checked
 * @param probeStore - probes the store; resolves to true if it answered within its timeout
 */
export async function checkConnectivity(services: readonly ServiceView[], clock: Clock, probeStore: () => Promise<boolean>): Promise<ConnectivityCheck> {
	const storeProbe = probeStore();
	const hasAnsweredSoon = await isTrueWithin(storeProbe, primaryCheckDelayMs, clock);
	const [storeAnswered, ...primaryReachability] = await Promise.all([
		storeProbe, ...hasAnsweredSoon ? [] : services.map(async view => view.isPrimaryReachable()),
	]);
	return {storeAnswered, primaries: services.length, unreachablePrimaries: primaryReachability.filter(isReachable => !isReachable).length};
}
