/** Starts the daemon on the users' platform. Listens for callers first and then loads the rest of the program. */
import process from 'node:process';
import {settingsPathVariable} from '@shallotpass/platform/settings-path.js';
import {listenEarly} from './listen-early.js';
import {type StopRequest} from './take-signals.js';

const usageExitCode = 2;

export const startPlatformDaemon = async (stopRequest: StopRequest): Promise<void> => {
	const path = process.env[settingsPathVariable];
	if (path === undefined) {
		process.stderr.write(`${settingsPathVariable} must name the settings file\n`);
		process.exitCode = usageExitCode;
		return;
	}

	if (stopRequest.signal.aborted) {
		// Nothing listens yet, so no caller waits for an answer.
		return;
	}

	const earlyServer = await listenEarly(path);
	const {runPlatformDaemon} = await import('./run-platform-daemon.js');
	await runPlatformDaemon({path, earlyServer, stopRequest});
};
