import {sqlStates, type PreparedStatement} from '@crocusloom/model';
import {
	backend, buildFrame, cString, frameHeaderBytes, frontend, readCString, type Frame,
} from '@crocusloom/wire';
import {type ExpectedAnswer} from './answer.js';
import {callerSqlStates, refusal} from './errors.js';
import {answerEnds, type PlannedExchange} from './exchange.js';
import {type LocalCommand} from './localCommands.js';
import {type Plan} from './plans.js';
import {readParse, type SessionStatement, type SessionStatements} from './preparedStatements.js';

/** What planning needs of the session. */
export type ExtendedContext = {
	readonly peer: string;
	readonly statements: SessionStatements;
	/** Statement of each portal of the open transaction. */
	readonly portals: Map<string, SessionStatement>;
	/** True when named statements are parsed in each exchange, because session parameters may change what they mean. */
	readonly parsesInline: boolean;
	/** Commands of a plan that the proxy answers itself in the session's present state. */
	readonly commandsOf: (plan: Plan) => readonly LocalCommand[] | undefined;
	/** Answer to Describe of such commands. */
	readonly describe: (commands: readonly LocalCommand[]) => Buffer;
	readonly run: (commands: readonly LocalCommand[]) => Buffer;
};

/** Portals kept for one transaction. */
const maximumPortals = 1000;
const parseComplete = buildFrame(backend.parseComplete, Buffer.alloc(0));
const bindComplete = buildFrame(backend.bindComplete, Buffer.alloc(0));
const closeComplete = buildFrame(backend.closeComplete, Buffer.alloc(0));
const noParameters = buildFrame(backend.parameterDescription, Buffer.alloc(2));
const portalTarget = 'P'.codePointAt(0)!;

/** Rewrites the frames of one extended exchange for a backend connection that knows none of the session's names. */
export class ExtendedPlanner {
	private readonly frames: Buffer[] = [];
	private readonly expected: ExpectedAnswer[] = [];
	private readonly plans: Plan[] = [];
	private readonly parsed: Array<{readonly name: string; readonly answer: ExpectedAnswer}> = [];
	private readonly prepared = new Map<string, PreparedStatement>();
	/** The unnamed statement that the backend connection has at this point of the exchange. */
	private backendUnnamed: SessionStatement | undefined;
	private executes = false;
	private needsEditing = false;

	private readonly handlers: Readonly<Record<number, (frame: Buffer) => void>> = {
		[frontend.parse]: frame => {
			this.parse(frame);
		},
		[frontend.bind]: frame => {
			this.bind(frame);
		},
		[frontend.describe]: frame => {
			this.describe(frame);
		},
		[frontend.execute]: frame => {
			this.execute(frame);
		},
		[frontend.close]: frame => {
			this.close(frame);
		},
	};

	constructor(private readonly context: ExtendedContext) {}

	/**
	 * Plans an exchange.
	 * @param frames - frames up to Sync, which is left out
	 * @throws FailureError when the exchange is refused before anything ran
	 */
	plan(frames: readonly Frame[]): PlannedExchange {
		try {
			for (const frame of frames) {
				this.handlers[frame.type]!(frame.bytes);
			}
		} catch (error) {
			this.forgetParsed();
			throw error;
		}

		return {
			frames: this.frames,
			protocol: 'extended',
			mode: this.plans.every(({classification}) => classification.mode === 'read') ? 'read' : 'write',
			plans: this.plans,
			executes: this.executes,
			preparedStatements: [...this.prepared.values()],
			expected: this.expected,
			parsed: this.parsed,
			needsEditing: this.needsEditing,
		};
	}

	private parse(frame: Buffer): void {
		const {name, statement} = readParse(frame, this.context.peer);
		const {plan} = statement;
		if (plan.refusedBecause) {
			throw refusal('classify', this.context.peer, callerSqlStates.featureNotSupported, `transaction pooling cannot serve ${plan.refusedBecause}`);
		}

		const isNew = this.context.statements.add(name, statement);
		const answer = this.parseAnswer(name, statement);
		if (isNew) {
			this.parsed.push({name, answer});
		}
	}

	private parseAnswer(name: string, statement: SessionStatement): ExpectedAnswer {
		if (statement.plan.commands) {
			return this.local(parseComplete);
		}

		this.plans.push(statement.plan);
		if (name === '' || this.context.parsesInline) {
			this.backendUnnamed = statement;
			return this.forward(statement.parseFrame, answerEnds.parse);
		}

		this.prepared.set(statement.prepared!.name, statement.prepared!);
		return this.local(parseComplete);
	}

	private bind(frame: Buffer): void {
		const portal = this.readName(frame, frameHeaderBytes);
		const name = this.readName(frame, portal.nextOffset);
		const statement = this.context.statements.get(name.text);
		if (this.context.portals.size >= maximumPortals && !this.context.portals.has(portal.text)) {
			throw refusal('classify', this.context.peer, callerSqlStates.programLimitExceeded, `portals of the transaction are above the limit of ${maximumPortals}`);
		}

		this.context.portals.set(portal.text, statement);
		if (this.context.commandsOf(statement.plan)) {
			this.local(bindComplete);
			return;
		}

		this.plans.push(statement.plan);
		const backendName = this.provide(statement);
		const renamed = backendName === name.text
			? frame
			: buildFrame(frontend.bind, Buffer.concat([
				frame.subarray(frameHeaderBytes, portal.nextOffset), cString(backendName), frame.subarray(name.nextOffset),
			]));
		this.forward(renamed, answerEnds.bind);
	}

	/** Sees to it that the connection has the statement; gives its name there. */
	private provide(statement: SessionStatement): string {
		if (statement.prepared && !this.context.parsesInline) {
			this.prepared.set(statement.prepared.name, statement.prepared);
			return statement.prepared.name;
		}

		if (this.backendUnnamed !== statement) {
			this.backendUnnamed = statement;
			this.frames.push(statement.parseFrame);
			this.expected.push({kind: 'hidden', ends: answerEnds.parse});
			this.needsEditing = true;
		}

		return '';
	}

	private describe(frame: Buffer): void {
		const {text: name} = this.readName(frame, frameHeaderBytes + 1);
		const isPortal = frame[frameHeaderBytes] === portalTarget;
		const statement = isPortal ? this.context.portals.get(name) : this.context.statements.get(name);
		const commands = statement && this.context.commandsOf(statement.plan);
		if (commands) {
			const description = this.context.describe(commands);
			this.local(isPortal ? description : Buffer.concat([noParameters, description]));
			return;
		}

		if (statement) {
			this.plans.push(statement.plan);
		}

		const backendName = isPortal ? name : this.provide(statement!);
		const renamed = backendName === name ? frame : buildFrame(frontend.describe, Buffer.concat([Buffer.from('S'), cString(backendName)]));
		this.forward(renamed, answerEnds.describe);
	}

	private execute(frame: Buffer): void {
		const {text: portal} = this.readName(frame, frameHeaderBytes);
		const statement = this.context.portals.get(portal);
		const commands = statement && this.context.commandsOf(statement.plan);
		if (commands) {
			this.local(this.context.run(commands));
			return;
		}

		if (statement) {
			this.plans.push(statement.plan);
		}

		this.executes = true;
		this.forward(frame, answerEnds.execute);
	}

	private close(frame: Buffer): void {
		const {text: name} = this.readName(frame, frameHeaderBytes + 1);
		if (frame[frameHeaderBytes] === portalTarget) {
			const statement = this.context.portals.get(name);
			this.context.portals.delete(name);
			if (!statement || this.context.commandsOf(statement.plan)) {
				this.local(closeComplete);
			} else {
				this.forward(frame, answerEnds.close);
			}

			return;
		}

		this.context.statements.remove(name);
		this.local(closeComplete);
	}

	private forward(frame: Buffer, ends: ReadonlySet<number>): ExpectedAnswer {
		const answer: ExpectedAnswer = {kind: 'forward', ends};
		this.frames.push(frame);
		this.expected.push(answer);
		return answer;
	}

	private local(frames: Buffer): ExpectedAnswer {
		const answer: ExpectedAnswer = {kind: 'local', frames};
		this.expected.push(answer);
		this.needsEditing = true;
		return answer;
	}

	private readName(frame: Buffer, offset: number): {readonly text: string; readonly nextOffset: number} {
		const name = readCString(frame, offset);
		if (!name) {
			throw refusal('classify', this.context.peer, sqlStates.protocolViolation, 'malformed message of the extended query protocol');
		}

		return name;
	}

	/** A refused exchange tells the caller of no ParseComplete, so its names stay free. */
	private forgetParsed(): void {
		for (const {name} of this.parsed) {
			this.context.statements.remove(name);
		}
	}
}
