import bunyan from 'bunyan';
import {type Logger} from '@crocusloom/model';
import {type Settings} from './settings.js';

/** Creates the logger of the daemon, which writes JSON lines to standard output. */
export function createLogger(settings: Settings): Logger {
	const logger = bunyan.createLogger({
		name: 'crocusloomd',
		level: settings.log.level,
		entryHost: settings.host.name,
		deployment: settings.host.deployment,
		failureDomain: settings.host.failureDomain,
	});
	return adaptBunyanLogger(logger);
}

/** Adapts a bunyan logger to the logger port. */
export function adaptBunyanLogger(logger: bunyan): Logger {
	return {
		info(fields, message) {
			logger.info(fields, message);
		},
		warn(fields, message) {
			logger.warn(fields, message);
		},
		error(fields, message) {
			logger.error(fields, message);
		},
	};
}
