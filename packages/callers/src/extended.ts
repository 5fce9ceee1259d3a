import {sqlStates, type PreparedStatement} from '@crocusloom/model';
import {
	backendTypes, buildFrame, cString, frameHeaderBytes, frontendTypes, readUtf8CString, type Frame,
} from '@crocusloom/wire';
import {callerSqlStates, protocolError} from './errors.js';
import {parametersPortalName, responseEndTypes, type PlannedExchange} from './exchange.js';
import {type LocalCommand} from './localCommands.js';
import {type ParameterValues} from './parameterChanges.js';
import {type StatementPlan} from './plans.js';
import {type SessionPortals} from './portals.js';
import {
	readParseMessage, requireShortName, type SessionStatement, type SessionStatements,
} from './preparedStatements.js';
import {type ExpectedResponse} from './response.js';
import {type TransactionStep} from './transactionParameters.js';

/** State of the session that the planner uses. */
export type ExtendedPlannerContext = {
	readonly peer: string;
	readonly statements: SessionStatements;
	readonly portals: SessionPortals;
	/** Maximum size of the frames that are sent to the backend server. They are longer than those of the caller if names are longer there or statements are parsed in place. */
	readonly maximumPlannedBytes: number;
	/** True if statements have to be parsed in each exchange, because server parameters of the session may change their meaning. */
	readonly needsInlineParse: boolean;
	/** Returns the server parameters of the session at this point of the exchange. */
	readonly currentParameters: () => ParameterValues;
	/** Returns the commands that the proxy runs itself for a plan, in the current state of the session. */
	readonly localCommandsOf: (plan: StatementPlan) => readonly LocalCommand[] | undefined;
	/** Returns the response to Describe of such commands. */
	readonly describeCommands: (commands: readonly LocalCommand[]) => Buffer;
	/** Runs such commands and returns the response to Execute. */
	readonly runCommands: (commands: readonly LocalCommand[]) => Buffer;
};

const parseComplete = buildFrame(backendTypes.parseComplete, Buffer.alloc(0));
const bindComplete = buildFrame(backendTypes.bindComplete, Buffer.alloc(0));
const closeComplete = buildFrame(backendTypes.closeComplete, Buffer.alloc(0));
const emptyParameterDescription = buildFrame(backendTypes.parameterDescription, Buffer.alloc(2));
const portalTargetType = 'P'.codePointAt(0)!;

/** Rewrites the frames of one extended-protocol exchange for a backend connection on which the statement names of the session do not exist. */
export class ExtendedPlanner {
	private readonly frames: Buffer[] = [];
	private readonly expectedResponses: ExpectedResponse[] = [];
	private readonly plans: StatementPlan[] = [];
	private readonly transactionSteps: TransactionStep[] = [];
	private readonly newStatements: Array<{readonly name: string; readonly response: ExpectedResponse}> = [];
	private readonly preparedStatements = new Map<string, PreparedStatement>();
	/** Unnamed statement on the backend connection at this point of the exchange. */
	private backendUnnamedStatement: SessionStatement | undefined;
	private plannedBytes = 0;
	private hasExecution = false;
	private needsResponseEditing = false;

	private readonly handlers: Readonly<Record<number, (frame: Buffer) => void>> = {
		[frontendTypes.parse]: frame => {
			this.planParse(frame);
		},
		[frontendTypes.bind]: frame => {
			this.planBind(frame);
		},
		[frontendTypes.describe]: frame => {
			this.planDescribe(frame);
		},
		[frontendTypes.execute]: frame => {
			this.planExecute(frame);
		},
		[frontendTypes.close]: frame => {
			this.planClose(frame);
		},
	};

	constructor(private readonly context: ExtendedPlannerContext) {}

	/**
	 * Plans an exchange.
	 * @param frames - frames of the exchange, without Sync
	 * @throws FailureError if the exchange is refused, in which case nothing has run
	 */
	plan(frames: readonly Frame[]): PlannedExchange {
		try {
			for (const frame of frames) {
				this.handlers[frame.type]!(frame.bytes);
			}
		} catch (error) {
			this.removeNewStatements();
			throw error;
		}

		return {
			frames: this.frames,
			protocol: 'extended',
			mode: this.plans.every(({classification}) => classification.mode === 'read') ? 'read' : 'write',
			plans: this.plans,
			transactionSteps: this.transactionSteps,
			hasExecution: this.hasExecution,
			preparedStatements: [...this.preparedStatements.values()],
			expectedResponses: this.expectedResponses,
			newStatements: this.newStatements,
			needsResponseEditing: this.needsResponseEditing,
		};
	}

	private planParse(frame: Buffer): void {
		const {name, statement} = readParseMessage(frame, this.context.peer);
		const {plan} = statement;
		if (plan.refusalReason) {
			throw protocolError('classify', this.context.peer, callerSqlStates.featureNotSupported, `transaction pooling does not support ${plan.refusalReason}`);
		}

		const isNew = this.context.statements.add(name, statement);
		const response = this.planParseResponse(name, statement);
		if (isNew) {
			this.newStatements.push({name, response});
		}
	}

	private planParseResponse(name: string, statement: SessionStatement): ExpectedResponse {
		if (statement.plan.localCommands) {
			return this.respondLocally(parseComplete);
		}

		this.plans.push(statement.plan);
		if (name === '' || this.context.needsInlineParse) {
			this.backendUnnamedStatement = statement;
			return this.forwardFrame(statement.parseFrame, responseEndTypes.parse);
		}

		this.preparedStatements.set(statement.preparedStatement!.name, statement.preparedStatement!);
		return this.respondLocally(parseComplete);
	}

	private planBind(frame: Buffer): void {
		const portal = this.readName(frame, frameHeaderBytes);
		const name = this.readName(frame, portal.nextOffset);
		if (portal.text === parametersPortalName) {
			throw protocolError('classify', this.context.peer, callerSqlStates.featureNotSupported, `the portal name ${parametersPortalName} is reserved`);
		}

		const statement = this.context.statements.get(name.text);
		this.context.portals.set(portal.text, statement);
		if (this.context.localCommandsOf(statement.plan)) {
			this.respondLocally(bindComplete);
			return;
		}

		this.plans.push(statement.plan);
		const backendName = this.provideStatement(statement);
		const renamedFrame = backendName === name.text
			? frame
			: buildFrame(frontendTypes.bind, Buffer.concat([
				frame.subarray(frameHeaderBytes, portal.nextOffset), cString(backendName), frame.subarray(name.nextOffset),
			]));
		this.forwardFrame(renamedFrame, responseEndTypes.bind);
	}

	/** Ensures that the statement exists on the backend connection. Returns its name there. */
	private provideStatement(statement: SessionStatement): string {
		if (statement.preparedStatement && !this.context.needsInlineParse) {
			this.preparedStatements.set(statement.preparedStatement.name, statement.preparedStatement);
			return statement.preparedStatement.name;
		}

		if (this.backendUnnamedStatement !== statement) {
			this.backendUnnamedStatement = statement;
			this.addFrame(statement.parseFrame);
			this.expectedResponses.push({kind: 'hidden', endTypes: responseEndTypes.parse});
			this.needsResponseEditing = true;
		}

		return '';
	}

	private planDescribe(frame: Buffer): void {
		const {text: name} = this.readName(frame, frameHeaderBytes + 1);
		const isPortal = frame[frameHeaderBytes] === portalTargetType;
		const statement = isPortal ? this.context.portals.get(name) : this.context.statements.get(name);
		const commands = statement && this.context.localCommandsOf(statement.plan);
		if (commands) {
			const description = this.context.describeCommands(commands);
			this.respondLocally(isPortal ? description : Buffer.concat([emptyParameterDescription, description]));
			return;
		}

		if (statement) {
			this.plans.push(statement.plan);
		}

		const backendName = isPortal ? name : this.provideStatement(statement!);
		const renamedFrame = backendName === name ? frame : buildFrame(frontendTypes.describe, Buffer.concat([Buffer.from('S'), cString(backendName)]));
		this.forwardFrame(renamedFrame, responseEndTypes.describe);
	}

	private planExecute(frame: Buffer): void {
		const {text: portal} = this.readName(frame, frameHeaderBytes);
		const statement = this.context.portals.get(portal);
		const commands = statement && this.context.localCommandsOf(statement.plan);
		if (commands) {
			this.respondLocally(this.context.runCommands(commands));
			return;
		}

		if (statement) {
			this.plans.push(statement.plan);
			const parameters = this.context.currentParameters();
			this.transactionSteps.push(...statement.plan.classification.transactionCommands.map(command => ({command, parameters})));
		}

		this.hasExecution = true;
		this.forwardFrame(frame, responseEndTypes.execute);
	}

	private planClose(frame: Buffer): void {
		const {text: name} = this.readName(frame, frameHeaderBytes + 1);
		if (frame[frameHeaderBytes] === portalTargetType) {
			const statement = this.context.portals.get(name);
			this.context.portals.delete(name);
			if (!statement || this.context.localCommandsOf(statement.plan)) {
				this.respondLocally(closeComplete);
			} else {
				this.forwardFrame(frame, responseEndTypes.close);
			}

			return;
		}

		this.context.statements.remove(name);
		this.respondLocally(closeComplete);
	}

	private forwardFrame(frame: Buffer, endTypes: ReadonlySet<number>): ExpectedResponse {
		const response: ExpectedResponse = {kind: 'forward', endTypes};
		this.addFrame(frame);
		this.expectedResponses.push(response);
		return response;
	}

	private addFrame(frame: Buffer): void {
		this.plannedBytes += frame.length;
		if (this.plannedBytes > this.context.maximumPlannedBytes) {
			throw protocolError(
				'classify',
				this.context.peer,
				callerSqlStates.programLimitExceeded,
				`messages up to Sync, with the statements that they use, exceed the limit of ${this.context.maximumPlannedBytes} bytes`,
			);
		}

		this.frames.push(frame);
	}

	private respondLocally(frames: Buffer): ExpectedResponse {
		const response: ExpectedResponse = {kind: 'local', frames};
		this.expectedResponses.push(response);
		this.needsResponseEditing = true;
		return response;
	}

	private readName(frame: Buffer, offset: number): {readonly text: string; readonly nextOffset: number} {
		const name = readUtf8CString(frame, offset);
		if (!name) {
			throw protocolError('classify', this.context.peer, sqlStates.protocolViolation, 'malformed message of the extended query protocol');
		}

		requireShortName(name.text, this.context.peer);
		return name;
	}

	/** Removes the statements that a refused exchange added, because the caller receives no ParseComplete for them. */
	private removeNewStatements(): void {
		for (const {name} of this.newStatements) {
			this.context.statements.remove(name);
		}
	}
}
