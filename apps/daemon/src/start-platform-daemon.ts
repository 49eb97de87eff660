/** Starts the daemon on the users' platform. Listens for callers first and then loads the rest of the program. */
import process from 'node:process';
import {settingsPathVariable} from '@shallotpass/platform/settings-path.js';
import {closeEarlyServer} from './close-early-server.js';
import {listenEarly} from './listen-early.js';
import {type ProcessEvents} from './process-events.js';

const failureExitCode = 1;
const usageExitCode = 2;

/** Ends the process if the daemon cannot start, once its callers have their answers. */
export const startPlatformDaemon = async ({stopRequest, keepAliveAtErrors}: ProcessEvents): Promise<void> => {
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
	if (earlyServer !== undefined) {
		keepAliveAtErrors();
	}

	try {
		const {runPlatformDaemon} = await import('./run-platform-daemon.js');
		await runPlatformDaemon({
			path, earlyServer, stopRequest, keepAliveAtErrors,
		});
	} catch (error) {
		process.stderr.write(`the daemon cannot start: ${error instanceof Error ? error.stack ?? error.message : String(error)}\n`);
		await closeEarlyServer(earlyServer, 'This daemon cannot start.');
		process.exit(failureExitCode);
	}
};
