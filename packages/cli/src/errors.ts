/** Exit codes of the command; also shown by `--help`. */
export const exitCodes = {
	/** The command did what was asked. */
	done: 0,
	/** The command line or a resource is wrong, or the server refused the change (conflict, invalid, not found). */
	refused: 1,
	/** No server answered, or the platform's store was unavailable; the same command may succeed later. */
	unavailable: 2,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** An error that ends the command with one line for each problem. */
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

/** An error with one line that means that the request is wrong or was refused. */
export function refused(line: string): CommandError {
	return new CommandError([line], exitCodes.refused);
}
