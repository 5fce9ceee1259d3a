import {
	advanceVector, formatSessionToken, parseSessionToken, type Configuration, type FreshnessVector, type LogPosition,
} from '@crocusloom/model';
import {quoteLiteral} from '@crocusloom/wire';
import {defaultDateStyle, resolveDateStyle} from './dateStyle.js';
import {callerSqlStates, protocolError} from './errors.js';
import {
	changesBetween, withChanges, type ParameterChanges, type ParameterValues,
} from './parameterChanges.js';

/** Maximum length of an idempotency key. */
const maximumIdempotencyKeyLength = 256;
/** Maximum number of server parameters per session. */
const maximumServerParameters = 64;
const maximumParameterValueLength = 1024;
/** Maximum length of the name of a server parameter. PostgreSQL uses 63 bytes of each part of it. */
const maximumParameterNameLength = 256;
/** Parameter that routes the work of a session and is not applied on backend connections. */
const applicationParameter = 'application_name';
const proxyOptionPrefix = 'crocusloom.';

// eslint-disable-next-line unicorn/text-encoding-identifier-case -- PostgreSQL reports the encoding in this spelling.
const utf8Encoding = 'UTF8';

/** Parameters reported to each caller at startup, with their default values. */
const reportedParameters: ReadonlyArray<readonly [string, string]> = [
	['server_version', '16.0'],
	['server_encoding', utf8Encoding],
	['client_encoding', utf8Encoding],
	['application_name', ''],
	['default_transaction_read_only', 'off'],
	['in_hot_standby', 'off'],
	['is_superuser', 'off'],
	['DateStyle', defaultDateStyle],
	['IntervalStyle', 'postgres'],
	['TimeZone', 'UTC'],
	['integer_datetimes', 'on'],
	['standard_conforming_strings', 'on'],
];

/** Returns the reported parameters with the values that the startup message of the session set. */
export function reportedParameterValues(settings: SessionSettings): ReadonlyArray<readonly [string, string]> {
	return reportedParameters.map(([name, value]) => [name, settings.serverParameters.get(name.toLowerCase()) ?? value]);
}

/** Values that need not be applied, because they are in force on backend connections or make no difference, whatever value was set before. */
const noOpValuePatterns: ReadonlyMap<string, RegExp> = new Map(Object.entries({
	client_encoding: /^(?:utf-?8|unicode)$/iv,
	// Since PostgreSQL 12, all values from 1 give the shortest exact output, and 0 rounds.
	extra_float_digits: /^[1-3]$/v,
	datestyle: new RegExp(`^${defaultDateStyle}$`, 'v'),
	timezone: /^(?:utc|etc\/utc)$/iv,
	intervalstyle: /^postgres$/iv,
	standard_conforming_strings: /^(?:on|true|1)$/iv,
	bytea_output: /^hex$/iv,
	client_min_messages: /^notice$/iv,
	search_path: /^"\$user"\s*,\s*public$/iv,
	statement_timeout: /^0$/v,
	lock_timeout: /^0$/v,
	idle_in_transaction_session_timeout: /^0$/v,
}));

/** Functions that complete values whose meaning depends on the value before, by parameter. They return undefined for an invalid value. */
const valueResolvers: ReadonlyMap<string, (value: string, currentValue: string | undefined, resetValue: string | undefined) => string | undefined> = new Map([
	['datestyle', (value, currentValue = defaultDateStyle, resetValue = defaultDateStyle) => resolveDateStyle(value, currentValue, resetValue)],
]);

/** Parameters by which the proxy and the backend server read texts. They have to agree, so other values are refused. */
const fixedParameters: ReadonlySet<string> = new Set(['client_encoding', 'standard_conforming_strings']);

/** Parameters that are refused, because they would affect other callers or change the identity of the session. */
const refusedParameters: ReadonlySet<string> = new Set(['role', 'session_authorization', 'transaction_read_only', 'default_transaction_read_only']);

/** Settings of a session: the `crocusloom.*` options, which the proxy handles, and server parameters, which it applies on backend connections. */
export class SessionSettings {
	rank: string | undefined;
	freshness: string | undefined;
	idempotencyKey: string | undefined;
	freshnessVector: FreshnessVector = new Map();
	hasSessionToken = false;
	/** Server parameters, with `application_name`, which routes the work and is not applied. The others are applied to each unit of work. The map is replaced on a change and never modified, so that a reference is a snapshot. */
	serverParameters: ParameterValues = new Map();
	private startupParameters: ParameterValues = new Map();

	private readonly proxyOptionGetters: Readonly<Record<string, () => string>> = {
		'crocusloom.session': () => formatSessionToken(this.freshnessVector),
		'crocusloom.rank': () => this.rank ?? '',
		'crocusloom.freshness': () => this.freshness ?? '',
		'crocusloom.idempotency_key': () => this.idempotencyKey ?? '',
	};

	private readonly proxyOptionResets: Readonly<Record<string, () => void>> = {
		'crocusloom.session': () => {
			this.freshnessVector = new Map();
			this.hasSessionToken = false;
		},
		'crocusloom.rank': () => {
			this.rank = undefined;
		},
		'crocusloom.freshness': () => {
			this.freshness = undefined;
		},
		'crocusloom.idempotency_key': () => {
			this.idempotencyKey = undefined;
		},
	};

	private readonly proxyOptionSetters: Readonly<Record<string, (value: string, configuration: Configuration) => boolean>> = {
		'crocusloom.session': value => this.setSessionToken(value),
		'crocusloom.rank': (value, configuration) => {
			this.rank = configuration.ranks.has(value) ? value : this.rank;
			return configuration.ranks.has(value);
		},
		'crocusloom.freshness': (value, configuration) => {
			this.freshness = configuration.freshnessClasses.has(value) ? value : this.freshness;
			return configuration.freshnessClasses.has(value);
		},
		'crocusloom.idempotency_key': value => {
			this.idempotencyKey = value === '' || value.length > maximumIdempotencyKeyLength ? undefined : value;
			return value.length <= maximumIdempotencyKeyLength;
		},
	};

	constructor(private readonly peer: string) {}

	get application(): string {
		return this.serverParameters.get(applicationParameter) ?? '';
	}

	/** True if the session has parameters that are applied on backend connections. */
	get hasAppliedParameters(): boolean {
		return this.serverParameters.size > (this.serverParameters.has(applicationParameter) ? 1 : 0);
	}

	/**
	 * Sets a parameter.
	 * @param name - name in lower case, of a `crocusloom.*` option or a server parameter
	 * @throws FailureError with 22023 if the value is invalid
	 */
	set(name: string, value: string, configuration: Configuration): void {
		if (name.startsWith(proxyOptionPrefix)) {
			this.setProxyOption(name, value, configuration);
		} else {
			this.setServerParameter(name, value);
		}
	}

	/** Resets a `crocusloom.*` option or a server parameter to its default. */
	reset(name: string): void {
		if (name.startsWith(proxyOptionPrefix)) {
			this.proxyOptionResets[name]?.();
			return;
		}

		this.replaceParameter(name, this.startupParameters.get(name));
	}

	/** Makes the current server parameters those to which RESET returns, as PostgreSQL does with the values of the startup message. */
	keepStartupParameters(): void {
		this.startupParameters = this.serverParameters;
	}

	/** Resets the server parameters and all options except the session token. */
	resetAll(): void {
		this.serverParameters = this.startupParameters;
		this.rank = undefined;
		this.freshness = undefined;
		this.idempotencyKey = undefined;
	}

	/** Returns the value of a `crocusloom.*` option, or undefined for an unknown one. */
	show(name: string): string | undefined {
		return this.proxyOptionGetters[name]?.();
	}

	/**
	 * Advances the session token to a position that the session has written or may have read.
	 * @returns true if the token changed
	 */
	advancePosition(group: string, position: LogPosition): boolean {
		const previousVector = this.freshnessVector;
		this.freshnessVector = advanceVector(previousVector, group, position);
		return this.freshnessVector !== previousVector;
	}

	private setProxyOption(name: string, value: string, configuration: Configuration): void {
		const setter = this.proxyOptionSetters[name];
		if (!setter) {
			throw protocolError('startup', this.peer, callerSqlStates.invalidParameterValue, `unrecognized option "${name}"`);
		}

		if (!setter(value, configuration)) {
			throw this.invalidValueError(name, value);
		}
	}

	private setSessionToken(value: string): boolean {
		const vector = parseSessionToken(value);
		if (!vector) {
			return false;
		}

		this.freshnessVector = vector;
		this.hasSessionToken = true;
		return true;
	}

	private setServerParameter(name: string, givenValue: string): void {
		const resolve = valueResolvers.get(name);
		const value = resolve ? resolve(givenValue, this.serverParameters.get(name), this.startupParameters.get(name)) : givenValue;
		if (value === undefined) {
			throw this.invalidValueError(name, givenValue);
		}

		if (refusedParameters.has(name)) {
			throw protocolError('classify', this.peer, callerSqlStates.featureNotSupported, `option "${name}" cannot be set for a session behind a pool; use SET LOCAL or BEGIN READ ONLY`);
		}

		if (fixedParameters.has(name) && !noOpValuePatterns.get(name)!.test(value)) {
			throw this.invalidValueError(name, value);
		}

		if (noOpValuePatterns.get(name)?.test(value)) {
			this.replaceParameter(name, undefined);
			return;
		}

		if (name.length > maximumParameterNameLength) {
			throw protocolError('classify', this.peer, callerSqlStates.programLimitExceeded, `the name of an option exceeds the limit of ${maximumParameterNameLength} characters`);
		}

		if (value.length > maximumParameterValueLength || (this.serverParameters.size >= maximumServerParameters && !this.serverParameters.has(name))) {
			throw protocolError(
				'classify',
				this.peer,
				callerSqlStates.programLimitExceeded,
				`option "${name}" exceeds the limit of ${maximumServerParameters} options of ${maximumParameterValueLength} characters`,
			);
		}

		this.replaceParameter(name, value);
	}

	private replaceParameter(name: string, value: string | undefined): void {
		this.serverParameters = withChanges(this.serverParameters, new Map([[name, value]]));
	}

	private invalidValueError(name: string, value: string): Error {
		return protocolError('startup', this.peer, callerSqlStates.invalidParameterValue, `invalid value for option "${name}": "${value.slice(0, 100)}"`);
	}
}

/** Returns what has to be set on a backend connection to get from some parameters to others. */
export function backendChanges(from: ParameterValues, to: ParameterValues): ParameterChanges {
	return new Map([...changesBetween(from, to)].filter(([name]) => name !== applicationParameter));
}

/** Builds the statement that sets the parameters until the end of the transaction. NULL sets the default. */
export function setConfigStatement(changes: ParameterChanges): string {
	return `SELECT ${[...changes].map(([name, value]) => `set_config(${quoteLiteral(name)}, ${value === undefined ? 'NULL' : quoteLiteral(value)}, true)`).join(', ')}`;
}
