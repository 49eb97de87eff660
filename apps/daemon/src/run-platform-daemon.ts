/** Runs the daemon on the users' platform until it is asked to stop. */
import process from 'node:process';
import {formatMistake} from '@shallotpass/common/toml-file.js';
import {type CallersServer} from '@shallotpass/gateway/calls/callers-server.js';
import {type GatewaySettings} from '@shallotpass/gateway/gateway-settings.js';
import {type EventLog, openEventLog} from '@shallotpass/gateway/telemetry/event-log.js';
import {type Gateway, startGateway} from '@shallotpass/gateway/start-gateway.js';
import {reportUncaughtError} from '@shallotpass/gateway/telemetry/report-uncaught-error.js';
import {openPlatform} from '@shallotpass/platform/open-platform.js';
import {readGatewaySettings} from '@shallotpass/platform/settings.js';
import {closeEarlyServer} from './close-early-server.js';
import {type ProcessEvents} from './process-events.js';
import {readInitialSettings, watchSettings} from './watch-settings.js';

const usageExitCode = 2;

export type PlatformDaemonOptions = ProcessEvents & {
	/** Path of the settings file. */
	readonly path: string;
	/** Server that already listens for callers, if it could be started. */
	readonly earlyServer: CallersServer | undefined;
};

const readSettings = async ({path, earlyServer, stopRequest}: PlatformDaemonOptions): Promise<GatewaySettings> => {
	const settings = await readInitialSettings({
		path,
		read: readGatewaySettings,
		onInvalid(mistakes) {
			for (const mistake of mistakes) {
				process.stderr.write(`${formatMistake(path, mistake)}\n`);
			}
		},
		signal: stopRequest.signal,
	});
	if (settings === undefined) {
		await closeEarlyServer(earlyServer, 'The settings of this daemon have errors.');
		process.exit(stopRequest.signal.aborted ? 0 : usageExitCode);
	}

	return settings;
};

type StartOptions = {
	readonly settings: GatewaySettings;
	/** Returns the settings that are in force. */
	readonly getSettings: () => GatewaySettings;
	readonly log: EventLog;
	readonly earlyServer: CallersServer | undefined;
};

const start = async ({settings, getSettings, log, earlyServer}: StartOptions): Promise<Gateway> => {
	const callersServer = earlyServer?.address === settings.listen.callers ? earlyServer : undefined;
	if (callersServer === undefined) {
		await closeEarlyServer(earlyServer, 'The address of this daemon has changed.');
	}

	return startGateway({
		settings,
		log,
		...(callersServer !== undefined && {callersServer}),
		openPlatform: onStoreCall => openPlatform({
			getStoreAddress: () => getSettings().store.address,
			getCloudAddress: () => getSettings().cloud.address,
			onStoreCall,
		}),
	});
};

/** Rejects if the daemon cannot start. */
export const runPlatformDaemon = async (options: PlatformDaemonOptions): Promise<void> => {
	const {
		path, earlyServer, stopRequest, keepAliveAtErrors,
	} = options;
	const settings = await readSettings(options);
	let currentSettings = settings;
	const log = openEventLog(settings.instance.id);
	const gateway = await start({
		settings, getSettings: () => currentSettings, log, earlyServer,
	});
	keepAliveAtErrors((error, origin) => {
		reportUncaughtError(gateway.state, error, origin);
	});

	const stop = async (): Promise<void> => {
		await gateway.drain(stopRequest.getRequestedAt());
		log.flush();
		process.exit(0);
	};

	const watcher = watchSettings({
		path,
		read: readGatewaySettings,
		onChange(changedSettings) {
			currentSettings = changedSettings;
			gateway.reload(changedSettings);
		},
		onInvalid(mistakes) {
			log.write('failure', 'settings_refused', {mistakes});
		},
	});

	process.on('SIGHUP', () => {
		log.write('state', 'reload_asked', {path});
		watcher.checkNow();
	});
	if (stopRequest.signal.aborted) {
		void stop();
	} else {
		stopRequest.signal.addEventListener('abort', () => {
			void stop();
		}, {once: true});
	}
};
