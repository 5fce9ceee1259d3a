export {exitCodes, type ExitCode} from './errors.js';
export {run, type CommandEnvironment} from './run.js';
