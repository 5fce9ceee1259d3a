import {type Logger} from '@crocusloom/model';
import {type Backend} from '../servers/backend.js';
import {probeStatus} from '../servers/leadershipProver.js';
import {type BackendCommand, type ServerStatus} from '../statements/statement.js';

/** Time in which a server must answer a control command of a promotion. */
const commandTimeoutMs = 500;

/** Sends a control command. Returns undefined if the server does not answer in time or answers with an error. */
export async function sendControlCommand(backend: Backend, command: BackendCommand): Promise<ServerStatus | undefined> {
	try {
		return await backend.runControlCommand(command, commandTimeoutMs);
	} catch (error) {
		backend.recordProbeFailure(error);
		return undefined;
	}
}

/** Term of the last command to pause that a server answered, and its answer. */
type AnsweredPause = {readonly term: number; readonly status: ServerStatus};

/**
 * Pauses of replication that one promotion has made. Only these are ended by it: a later holder of the promotion lease may have paused
 * the same servers for a promotion of its own, which the end of its pauses would deprive of commits.
 */
export class ReplicationPauses {
	private readonly pauses = new Map<Backend, AnsweredPause>();

	/**
	 * @param log - logger
	 * @param mayResume - confirms that no other process may have paused the same servers with the same term
	 * @param mayReceive - checks whether a server may receive again: it does not receive from a primary that was replaced, or no host passes on the commits of that one
	 */
	constructor(private readonly log: Logger, private readonly mayResume: () => Promise<boolean>, private readonly mayReceive: (status: ServerStatus) => boolean) {}

	/** Servers that answered the command to pause. */
	get backends(): readonly Backend[] {
		return [...this.pauses.keys()];
	}

	/** Answers to the last command to pause of each server. */
	get answers(): ReadonlyArray<{readonly backend: Backend; readonly status: ServerStatus}> {
		return [...this.pauses].map(([backend, {status}]) => ({backend, status}));
	}

	/**
	 * Pauses replication to a server. A former primary that still claims its old term cannot be paused and would receive commits as soon as
	 * it steps down, so it is told to step down first.
	 * @param term - term of the promotion, above all terms that were found
	 * @param primaryTerm - term of the primary that is replaced; 0 if no primary is known
	 * @returns the status of the server, or undefined if it did not answer or may still receive commits
	 */
	async pause(backend: Backend, term: number, primaryTerm: number): Promise<ServerStatus | undefined> {
		const status = await this.sendPause(backend, term);
		if (!status || this.isPausedBy(backend, status)) {
			return status;
		}

		const stepDownTerm = Math.max(primaryTerm, status.term + 1);
		if (status.role !== 'primary' || stepDownTerm >= term) {
			this.log.warn({
				server: backend.id, role: status.role, term: status.term, pausedTerm: status.pausedTerm, sentTerm: term,
			}, 'a server did not pause replication');
			return undefined;
		}

		this.log.info({server: backend.id, term: status.term, primaryTerm}, 'a former primary steps down before replication to it is paused');
		// The term of the known primary is enough. With a higher one, hosts would wait for a primary of that term, also if no promotion follows.
		await sendControlCommand(backend, {kind: 'stepDown', term: stepDownTerm});
		const laterStatus = await this.sendPause(backend, term);
		return laterStatus && this.isPausedBy(backend, laterStatus) ? laterStatus : undefined;
	}

	/**
	 * Reads all pauses again.
	 * @returns the servers that are not known to be paused by this promotion any more
	 */
	async findEnded(): Promise<readonly Backend[]> {
		const checks = await Promise.all(this.backends.map(async backend => ({backend, isPaused: await this.isStillPaused(backend)})));
		return checks.filter(({isPaused}) => !isPaused).map(({backend}) => backend);
	}

	/** Checks whether a server is paused by this promotion, and not by another one or not at all. */
	isPausedBy(backend: Backend, {role, pausedTerm}: ServerStatus): boolean {
		return role === 'replica' && pausedTerm === this.pauses.get(backend)?.term;
	}

	/**
	 * Resumes replication to a server if the pause is of this promotion.
	 * @param mayReceive - checks whether the server may receive again
	 */
	async end(backend: Backend, mayReceive = this.mayReceive): Promise<void> {
		const status = await probeStatus(backend);
		if (!status || !this.isPausedBy(backend, status)) {
			return;
		}

		if (!mayReceive(status)) {
			this.log.warn({server: backend.id, term: status.term, pausedTerm: status.pausedTerm}, 'a server stays paused, because it may receive from a primary that was replaced');
			return;
		}

		// Confirmed last, because the command has no term by which the server could refuse it.
		if (await this.mayResume()) {
			await sendControlCommand(backend, {kind: 'resume'});
		} else {
			this.log.warn({server: backend.id}, 'a pause is left to the next holder of the promotion lease');
		}
	}

	/** Ends all pauses of this promotion. */
	async endAll(): Promise<void> {
		await Promise.all(this.backends.map(async backend => this.end(backend)));
	}

	/** Asks twice, as an answer may be lost. A server that follows the new term receives nothing from the old primary either. */
	private async isStillPaused(backend: Backend): Promise<boolean> {
		const status = await probeStatus(backend) ?? await probeStatus(backend);
		return status !== undefined && (this.isPausedBy(backend, status) || status.term >= this.pauses.get(backend)!.term);
	}

	private async sendPause(backend: Backend, term: number): Promise<ServerStatus | undefined> {
		const status = await sendControlCommand(backend, {kind: 'pause', term});
		if (status) {
			this.pauses.set(backend, {term, status});
		}

		return status;
	}
}
