import {type InjectionToken} from 'tsyringe';
import {
	type BackendDialer, type Clock, type ConfigurationSource, type HostList, type KeyValueStore, type Logger, type Metrics, type RandomSource, type Tracer,
} from '@crocusloom/model';
import {type PromMetrics} from './metrics.js';
import {type Settings} from './settings.js';

/**
 * Injection tokens of the ports and values that no class represents at run time. Classes serve as their own tokens.
 */
export const tokens = {
	settings: Symbol('Settings') as InjectionToken<Settings>,
	/** Aborts the tasks of the process. */
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
	/** Configuration into which the leaving backend servers of the host list are merged. */
	configuration: Symbol('ConfigurationSource') as InjectionToken<ConfigurationSource>,
} as const;
