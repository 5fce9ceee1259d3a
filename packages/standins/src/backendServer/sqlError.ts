/** SQLSTATEs that the backend server reports. */
export const serverSqlStates = {
	readOnly: '25006',
	serialization: '40001',
	deadlock: '40P01',
	queryCanceled: '57014',
	tooManyConnections: '53300',
	uniqueViolation: '23505',
	notNullViolation: '23502',
	undefinedTable: '42P01',
	undefinedColumn: '42703',
	undefinedFunction: '42883',
	duplicateTable: '42P07',
	syntaxError: '42601',
	featureNotSupported: '0A000',
	invalidText: '22P02',
	divisionByZero: '22012',
	failedTransaction: '25P02',
	noActiveTransaction: '25P01',
	noSuchSavepoint: '3B001',
	cannotConnectNow: '57P03',
	invalidPassword: '28P01',
	undefinedStatement: '26000',
	undefinedPortal: '34000',
	protocolViolation: '08P01',
} as const;

/** An error that is sent to the client as an ErrorResponse. */
export class SqlError extends Error {
	override readonly name = 'SqlError';

	/**
	 * @param sqlState - five-character SQLSTATE
	 * @param message - error message
	 * @param constraint - name of the violated constraint, if any
	 */
	constructor(readonly sqlState: string, message: string, readonly constraint?: string) {
		super(message);
	}
}
