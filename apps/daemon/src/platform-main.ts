/** Entry point of the daemon on the users' platform. Listens for callers first and then loads the rest of the program. */
// eslint-disable-next-line import-x/order -- signals may arrive while the other modules load
import './ignore-early-signals.js';
import process from 'node:process';
import {settingsPathVariable} from '@shallotpass/platform/settings-path.js';
import {listenEarly} from './listen-early.js';

const usageExitCode = 2;

const path = process.env[settingsPathVariable];
if (path === undefined) {
	process.stderr.write(`${settingsPathVariable} must name the settings file\n`);
	process.exit(usageExitCode);
}

const earlyServer = await listenEarly(path);
const {runPlatformDaemon} = await import('./run-platform-daemon.js');
await runPlatformDaemon({path, earlyServer});
