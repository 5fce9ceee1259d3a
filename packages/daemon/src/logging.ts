import bunyan from 'bunyan';
import {type Logger} from '@crocusloom/model';
import {type Settings} from './settings.js';

/** Creates the log of the daemon: JSON lines on standard output. */
export function createLog(settings: Settings): Logger {
	const logger = bunyan.createLogger({
		name: 'crocusloomd',
		level: settings.log.level,
		entryHost: settings.host.name,
		deployment: settings.host.deployment,
		failureDomain: settings.host.failureDomain,
	});
	return logTo(logger);
}

/** Adapter of the log port to a bunyan logger. */
export function logTo(logger: bunyan): Logger {
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
