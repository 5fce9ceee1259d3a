import {
	advanceVector, formatSessionToken, parseSessionToken, type Configuration, type FreshnessVector, type LogPosition,
} from '@crocusloom/model';
import {callerSqlStates, refusal} from './errors.js';

/** Longest idempotency key. */
const maximumKeyLength = 256;
/** Ordinary parameters kept for a session. */
const maximumParameters = 64;
const maximumValueLength = 1024;
const proxyPrefix = 'crocusloom.';

// eslint-disable-next-line unicorn/text-encoding-identifier-case -- PostgreSQL's own spelling.
const encoding = 'UTF8';

/** Parameters reported to each caller at startup. */
const reportedParameters: ReadonlyArray<readonly [string, string]> = [
	['server_version', '16.0'],
	['server_encoding', encoding],
	['client_encoding', encoding],
	['application_name', ''],
	['default_transaction_read_only', 'off'],
	['in_hot_standby', 'off'],
	['is_superuser', 'off'],
	['DateStyle', 'ISO, MDY'],
	['IntervalStyle', 'postgres'],
	['TimeZone', 'UTC'],
	['integer_datetimes', 'on'],
	['standard_conforming_strings', 'on'],
];

/** Values of the reported parameters as a session's startup set them. */
export function reportedValues(settings: SessionSettings): ReadonlyArray<readonly [string, string]> {
	return reportedParameters.map(([name, value]) => [name, name === 'application_name' ? settings.application : settings.parameters.get(name.toLowerCase()) ?? value]);
}

/** Values that need not be applied, because backend connections have them or their effect is the same. */
const withoutEffect: Readonly<Record<string, RegExp>> = {
	application_name: /^/v,
	client_encoding: /^(?:utf-?8|unicode)$/iv,
	extra_float_digits: /^[0-3]$/v,
	datestyle: /^"?iso(?:\s*,\s*mdy)?"?$/iv,
	timezone: /^(?:utc|etc\/utc)$/iv,
	intervalstyle: /^postgres$/iv,
	standard_conforming_strings: /^(?:on|true|1)$/iv,
	bytea_output: /^hex$/iv,
	client_min_messages: /^notice$/iv,
	search_path: /^(?:(?:"\$user"\s*,\s*)?public)$/iv,
	statement_timeout: /^0$/v,
	lock_timeout: /^0$/v,
	idle_in_transaction_session_timeout: /^0$/v,
};

/** Settings that would change what other callers get or who they are. */
const refusedParameters: ReadonlySet<string> = new Set(['role', 'session_authorization', 'transaction_read_only', 'default_transaction_read_only']);

/** Everything that a session has set. */
export class SessionSettings {
	application = '';
	rank: string | undefined;
	freshness: string | undefined;
	idempotencyKey: string | undefined;
	vector: FreshnessVector = new Map();
	hasToken = false;
	/** Ordinary parameters that are applied to each unit of work; replaced, never changed in place. */
	parameters: ReadonlyMap<string, string> = new Map();

	private readonly shown: Readonly<Record<string, () => string>> = {
		'crocusloom.session': () => formatSessionToken(this.vector),
		'crocusloom.rank': () => this.rank ?? '',
		'crocusloom.freshness': () => this.freshness ?? '',
		'crocusloom.idempotency_key': () => this.idempotencyKey ?? '',
	};

	private readonly resetProxy: Readonly<Record<string, () => void>> = {
		'crocusloom.session': () => {
			this.vector = new Map();
			this.hasToken = false;
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

	private readonly setters: Readonly<Record<string, (value: string, configuration: Configuration) => boolean>> = {
		'crocusloom.session': value => this.setToken(value),
		'crocusloom.rank': (value, configuration) => {
			this.rank = configuration.ranks.has(value) ? value : this.rank;
			return configuration.ranks.has(value);
		},
		'crocusloom.freshness': (value, configuration) => {
			this.freshness = configuration.freshnessClasses.has(value) ? value : this.freshness;
			return configuration.freshnessClasses.has(value);
		},
		'crocusloom.idempotency_key': value => {
			this.idempotencyKey = value === '' || value.length > maximumKeyLength ? undefined : value;
			return value.length <= maximumKeyLength;
		},
	};

	constructor(private readonly peer: string) {}

	/**
	 * Sets a parameter.
	 * @param name - in lower case, `crocusloom.` names included
	 * @throws FailureError with 22023 that names the option when the value is bad
	 */
	set(name: string, value: string, configuration: Configuration): void {
		if (name.startsWith(proxyPrefix)) {
			this.setProxy(name, value, configuration);
		} else {
			this.setOrdinary(name, value);
		}
	}

	reset(name: string): void {
		if (name.startsWith(proxyPrefix)) {
			this.resetProxy[name]?.();
			return;
		}

		const parameters = new Map(this.parameters);
		parameters.delete(name);
		this.parameters = parameters;
	}

	resetAll(): void {
		this.parameters = new Map();
		this.rank = undefined;
		this.freshness = undefined;
		this.idempotencyKey = undefined;
	}

	/** Value of a `crocusloom.` setting; undefined for an unknown one. */
	show(name: string): string | undefined {
		return this.shown[name]?.();
	}

	/**
	 * Adds a position that the session has written or may have seen.
	 * @returns true if the token moved
	 */
	advance(group: string, position: LogPosition): boolean {
		const before = this.vector;
		this.vector = advanceVector(before, group, position);
		return this.vector !== before;
	}

	private setProxy(name: string, value: string, configuration: Configuration): void {
		const setter = this.setters[name];
		if (!setter) {
			throw refusal('startup', this.peer, callerSqlStates.invalidParameterValue, `unrecognized option "${name}"`);
		}

		if (!setter(value, configuration)) {
			throw this.badValue(name, value);
		}
	}

	private setToken(value: string): boolean {
		const vector = parseSessionToken(value);
		if (!vector) {
			return false;
		}

		this.vector = vector;
		this.hasToken = true;
		return true;
	}

	private setOrdinary(name: string, value: string): void {
		if (refusedParameters.has(name)) {
			throw refusal('classify', this.peer, callerSqlStates.featureNotSupported, `option "${name}" cannot be set for a session behind a pool; use SET LOCAL or BEGIN READ ONLY`);
		}

		if (name === 'client_encoding' && !withoutEffect.client_encoding!.test(value)) {
			throw this.badValue(name, value);
		}

		if (name === 'application_name') {
			this.application = value;
		}

		if (withoutEffect[name]?.test(value)) {
			this.reset(name);
			return;
		}

		if (value.length > maximumValueLength || (this.parameters.size >= maximumParameters && !this.parameters.has(name))) {
			throw refusal('classify', this.peer, callerSqlStates.programLimitExceeded, `option "${name}" is above the limit of ${maximumParameters} options of ${maximumValueLength} characters`);
		}

		this.parameters = new Map([...this.parameters, [name, value]]);
	}

	private badValue(name: string, value: string): Error {
		return refusal('startup', this.peer, callerSqlStates.invalidParameterValue, `invalid value for option "${name}": "${value.slice(0, 100)}"`);
	}
}

/** Statement that applies parameters up to the end of the transaction. */
export function applyParametersText(parameters: ReadonlyMap<string, string>): string {
	return `SELECT ${[...parameters].map(([name, value]) => `set_config(${literal(name)}, ${literal(value)}, true)`).join(', ')}`;
}

/** Writes a text as an SQL literal, whatever standard_conforming_strings says. */
export function literal(text: string): string {
	const escaped = text.replaceAll('\'', '\'\'');
	return escaped.includes('\\') ? `E'${escaped.replaceAll('\\', '\\\\')}'` : `'${escaped}'`;
}
