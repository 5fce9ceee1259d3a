export {chooseRoute, type CallerIdentity, type Route} from './routes.js';
export {CallerServer} from './server.js';
export {cancelMethod, type CancelKey} from './cancel.js';
export {
	defaultCallerLimits, type CallerLimits, type CallerServerOptions, type CallerUsers,
} from './types.js';
