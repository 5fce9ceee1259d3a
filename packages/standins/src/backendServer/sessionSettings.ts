import {nodeAt, textAt, type Statement} from './ast.js';
import {type StatementResult} from './result.js';

/** Settings of a connection. They are stored for SHOW and have no other effect. */
export class SessionSettings {
	private readonly values = new Map<string, string>();

	/** Runs SET, SHOW, DISCARD or DEALLOCATE. */
	run({tag, body}: Statement): StatementResult {
		const name = textAt(body, 'name');
		if (tag === 'VariableShowStmt') {
			return {columns: [{name, typeId: 25}], rows: [[this.values.get(name) ?? '']], commandTag: 'SHOW'};
		}

		const constant = nodeAt(body, 'args', 0, 'A_Const');
		this.values.set(name, textAt(constant, 'sval', 'sval') || textAt(constant, 'ival', 'ival'));
		return {rows: [], commandTag: tag === 'VariableSetStmt' ? 'SET' : (tag === 'DiscardStmt' ? 'DISCARD ALL' : 'DEALLOCATE')};
	}
}
