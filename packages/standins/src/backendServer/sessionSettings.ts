import {nodeAt, textAt, type Statement} from './ast.js';
import {type Result} from './result.js';

/** Settings of a connection; they are kept for SHOW and have no effect. */
export class SessionSettings {
	private readonly values = new Map<string, string>();

	/** Runs SET, SHOW, DISCARD or DEALLOCATE. */
	run({tag, body}: Statement): Result {
		const name = textAt(body, 'name');
		if (tag === 'VariableShowStmt') {
			return {columns: [{name, typeId: 25}], rows: [[this.values.get(name) ?? '']], tag: 'SHOW'};
		}

		const constant = nodeAt(body, 'args', 0, 'A_Const');
		this.values.set(name, textAt(constant, 'sval', 'sval') || textAt(constant, 'ival', 'ival'));
		return {rows: [], tag: tag === 'VariableSetStmt' ? 'SET' : (tag === 'DiscardStmt' ? 'DISCARD ALL' : 'DEALLOCATE')};
	}
}
