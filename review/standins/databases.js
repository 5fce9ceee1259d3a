/* eslint camelcase: "off" -- the platform gives the names of the fields */
/**
 * Stand-in of one service of three databases: a primary and two replicas, with a common log of commits. No database fails here.
 */
import {createServer} from 'node:net';
import {once} from 'node:events';
import {randomUUID} from 'node:crypto';
import {onLine} from './lines.js';

/** Time for which a new connection occupies a slot. */
const newConnectionMs = 12;
const replicationDelayMs = 3;
/** Time from a promotion request until the database leads. */
const promoteMs = 1000;
/** Time after which a former primary that reaches the new one becomes a replica. */
const formerPrimaryMs = 1000;
/** Time after which the connection of an unreachable remote end is dropped. */
const unreachableDropMs = 3000;

export class Database {
	role = 'replica';
	term = 1;
	/** Commits that are received, in their order. */
	log = [];
	/** Term of the command that stopped the receiving; 0 if it has not been stopped. */
	pausedTerm = 0;
	busySlots = 0;
	openConnections = 0;
	waiting = [];

	constructor(group, id, zone) {
		Object.assign(this, {group, id, zone});
	}

	async start() {
		this.server = createServer({noDelay: true}, socket => {
			this.accept(socket);
		});
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
	}

	get port() {
		return this.server.address().port;
	}

	stop() {
		this.server.close();
	}

	/** Position of the newest commit that is received. */
	get position() {
		const {term, number} = this.log.at(-1) ?? {term: 1, number: 0};
		return `${term}.${number}`;
	}

	/** Entry of the database in the platform's store. */
	entry(address) {
		return {
			service: this.group.service, address, zone: this.zone, version: 'v1', slots: this.group.slots, state: 'ready', cold_left_ms: 0, db_role: this.role, sequence: 1, born: this.group.bornMs,
		};
	}

	/** Waits for a slot, and frees it when the work has ended. */
	async inSlot(durationMs) {
		while (this.busySlots >= this.group.slots) {
			await new Promise(resolve => {
				this.waiting.push(resolve);
			});
		}

		this.busySlots++;
		await new Promise(resolve => {
			setTimeout(resolve, durationMs);
		});
		this.busySlots--;
		this.waiting.shift()?.();
	}

	accept(socket) {
		const session = {
			open: false, transaction: undefined, values: new Map(), prepared: new Map(), queue: Promise.resolve(),
		};
		socket.on('error', () => undefined);
		socket.on('close', () => {
			if (session.open) {
				session.open = false;
				this.openConnections--;
			}
		});
		onLine(socket, line => {
			session.queue = session.queue.then(async () => this.handle(socket, session, line));
		});
	}

	async handle(socket, session, line) {
		if (!session.open) {
			await this.startSession(socket, session, line);
			return;
		}

		if (line === 'TERMINATE') {
			socket.end();
			return;
		}

		const [, id, ...words] = line.split(' ');
		const answer = await this.run(session, id, words);
		const state = session.transaction ? 'T' : 'I';
		socket.write(`${answer}READY ${state} ${this.position}\r\n`);
	}

	async startSession(socket, session, line) {
		const [word, service, , id] = line.split(' ');
		if (word !== 'STARTUP' || service !== this.group.service || (id !== undefined && id !== this.id)) {
			socket.end(`ERROR MISROUTED ${this.id}\r\n`);
			return;
		}

		if (this.openConnections >= this.group.maxConnections) {
			socket.end(`ERROR TOOMANY ${this.id}\r\n`);
			return;
		}

		session.open = true;
		this.openConnections++;
		await this.inSlot(newConnectionMs);
		socket.write(`READY I ${this.position}\r\n`);
	}

	async run(session, id, words) {
		const statement = words[0] === 'AFTER' ? words.slice(2) : words;
		if (words[0] === 'AFTER' && !isAtLeast(this.position, words[1])) {
			return `ERROR LAGGING ${this.id}\r\n`;
		}

		const [verb, name, ...rest] = statement;
		switch (verb) {
			case 'SET': {
				session.values.set(name, rest.join(' '));
				return 'COMPLETE -\r\n';
			}

			case 'PREPARE': {
				session.prepared.set(name, rest[0]);
				return 'COMPLETE -\r\n';
			}

			case 'DISCARD': {
				session.values.clear();
				session.prepared.clear();
				return 'COMPLETE -\r\n';
			}

			case 'BEGIN': {
				if (name !== 'READ' && this.role !== 'primary') {
					return `ERROR READONLY ${this.id}\r\n`;
				}

				session.transaction = {writes: 0};
				return 'COMPLETE -\r\n';
			}

			case 'ROLLBACK': {
				session.transaction = undefined;
				return 'COMPLETE -\r\n';
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'STEPDOWN': {
				await this.inSlot(0);
				this.group.control(this, verb, Number(name));
				return `DATAROW ${this.role} ${this.term} ${this.position} ${this.pausedTerm} 0 ${this.busySlots} ${this.openConnections}\r\nCOMPLETE -\r\n`;
			}

			case 'EXECUTE': {
				const mode = session.prepared.get(name);
				return mode === undefined ? `ERROR NOSTMT ${name}\r\n` : this.work(session, id, mode);
			}

			default: {
				return this.work(session, id, verb);
			}
		}
	}

	/** Runs a read, a write or a commit in a slot. */
	async work(session, id, verb) {
		this.group.arrivals.push({
			atMs: performance.now(), database: this.id, id, verb,
		});
		await this.inSlot(this.group.workMs);
		const isWrite = verb === 'WRITE';
		if (isWrite && this.role !== 'primary') {
			return `ERROR READONLY ${this.id}\r\n`;
		}

		let writes = isWrite ? 1 : 0;
		if (session.transaction) {
			session.transaction.writes += writes;
			writes = 0;
		}

		if (verb === 'COMMIT') {
			writes = session.transaction?.writes ?? 0;
			session.transaction = undefined;
		}

		if (writes > 0 && !await this.group.commit(this, id)) {
			return `ERROR FAILED ${this.id}\r\n`;
		}

		this.group.runs.push({
			atMs: performance.now(), database: this.id, id, verb,
		});
		return `${verb === 'READ' ? 'DATAROW row\r\n' : ''}COMPLETE ${this.id}.${id}\r\n`;
	}
}

/** The databases of one service. */
export class DatabaseGroup {
	bornMs = Date.now();
	/** Reads, writes and commits that a database received, and those that it has run. */
	arrivals = [];
	runs = [];
	service = 'huvo11a';
	/** Called after a change of a role, which a database reports immediately. */
	onRoleChange = () => undefined;

	constructor({slots, maxConnections, workMs, zones}) {
		Object.assign(this, {slots, maxConnections, workMs});
		this.databases = zones.map(zone => new Database(this, `i-${randomUUID().slice(0, 8)}`, zone));
		this.databases[0].role = 'primary';
	}

	async start() {
		await Promise.all(this.databases.map(async database => database.start()));
	}

	stop() {
		for (const database of this.databases) {
			database.stop();
		}
	}

	/** Makes a change of this side of a database by a command. */
	control(database, verb, term) {
		if (verb === 'PAUSE' && database.role === 'replica' && term > database.term) {
			database.pausedTerm = term;
		} else if (verb === 'RESUME') {
			database.pausedTerm = 0;
		} else if (verb === 'STEPDOWN' && database.role === 'primary' && term > database.term) {
			database.role = 'replica';
			this.onRoleChange();
		}
	}

	/** Promotes a database, which leads the next term some time later. */
	promote(id) {
		const promoted = this.databases.find(database => database.id === id);
		setTimeout(() => {
			if (promoted.role === 'primary') {
				return;
			}

			const former = this.databases.filter(({role}) => role === 'primary');
			promoted.role = 'primary';
			promoted.term = Math.max(...this.databases.map(({term}) => term)) + 1;
			promoted.pausedTerm = 0;
			this.onRoleChange();
			for (const database of this.databases.filter(({role}) => role === 'replica')) {
				this.follow(database, promoted);
			}

			setTimeout(() => {
				for (const database of former.filter(({role, term}) => role === 'primary' && term < promoted.term)) {
					database.role = 'replica';
					this.follow(database, promoted);
					this.onRoleChange();
				}
			}, formerPrimaryMs);
		}, promoteMs);
	}

	follow(database, primary) {
		Object.assign(database, {term: primary.term, pausedTerm: 0, log: [...primary.log]});
	}

	/**
	 * Appends a commit to the log, which is acknowledged once a replica has received it.
	 * @returns false if the database has lost the lead before
	 */
	async commit(primary, id) {
		const {term} = primary;
		primary.log.push({term, number: (primary.log.at(-1)?.number ?? 0) + 1, id});
		while (primary.role === 'primary' && primary.term === term) {
			await new Promise(resolve => {
				setTimeout(resolve, replicationDelayMs);
			});
			const receiving = this.databases.filter(database => database.role === 'replica' && database.term <= term && database.pausedTerm === 0);
			for (const database of receiving) {
				Object.assign(database, {term, log: [...primary.log]});
			}

			if (receiving.length > 0) {
				return true;
			}
		}

		return false;
	}
}

/** Checks whether a position is at or behind another one in the log. */
function isAtLeast(position, required) {
	const [term, number] = position.split('.').map(Number);
	const [requiredTerm, requiredNumber] = required.split('.').map(Number);
	return term === requiredTerm ? number >= requiredNumber : term > requiredTerm;
}

export {unreachableDropMs};
