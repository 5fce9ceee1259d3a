import {type InjectionToken} from 'tsyringe';
import {
	type BackendDialer, type Clock, type ConfigurationSource, type HostList, type KeyValueStore, type Logger, type Metrics, type RandomSource, type Tracer,
} from '@crocusloom/model';
import {type PromMetrics} from './metrics.js';
import {type Settings} from './settings.js';

/**
 * Tokens of the ports and values that have no class of their own at run time. Classes are registered under themselves.
 */
export const tokens = {
	settings: Symbol('Settings') as InjectionToken<Settings>,
	/** Ends the process's tasks. */
	signal: Symbol('AbortSignal') as InjectionToken<AbortSignal>,
	clock: Symbol('Clock') as InjectionToken<Clock>,
	random: Symbol('RandomSource') as InjectionToken<RandomSource>,
	log: Symbol('Log') as InjectionToken<Logger>,
	metrics: Symbol('Metrics') as InjectionToken<Metrics>,
	promMetrics: Symbol('PromMetrics') as InjectionToken<PromMetrics>,
	tracer: Symbol('Tracer') as InjectionToken<Tracer>,
	keyValueStore: Symbol('KeyValueStore') as InjectionToken<KeyValueStore>,
	hostList: Symbol('HostList') as InjectionToken<HostList>,
	dialer: Symbol('BackendDialer') as InjectionToken<BackendDialer>,
	/** Configuration with the leaving marks of the host list. */
	configuration: Symbol('ConfigurationSource') as InjectionToken<ConfigurationSource>,
} as const;
