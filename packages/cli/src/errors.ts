/** Exit codes of the command. `--help` lists them too. */
export const exitCodes = {
	/** The command succeeded. */
	done: 0,
	/** The command line or a resource is invalid, or the server refused the request (conflict, invalid, not found). */
	refused: 1,
	/** No server answered, or the platform's store was unavailable. The same command may succeed later. */
	unavailable: 2,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** An error that ends the command, with one line for each problem. */
export class CommandError extends Error {
	override readonly name = 'CommandError';

	/**
	 * @param lines - lines for standard error, without a prefix
	 * @param exitCode - exit code of the command
	 */
	constructor(readonly lines: readonly string[], readonly exitCode: ExitCode) {
		super(lines.join('; '));
	}
}

/** Creates a one-line error for a request that is invalid or was refused. */
export function createRefusalError(line: string): CommandError {
	return new CommandError([line], exitCodes.refused);
}
