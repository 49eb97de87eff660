/** Runs the daemon on the users' platform until SIGTERM. */
import process from 'node:process';
import {formatMistake} from '@shallotpass/common/toml-file.js';
import {type CallersServer} from '@shallotpass/gateway/calls/callers-server.js';
import {openEventLog} from '@shallotpass/gateway/telemetry/event-log.js';
import {startGateway} from '@shallotpass/gateway/start-gateway.js';
import {openPlatform} from '@shallotpass/platform/open-platform.js';
import {readGatewaySettings} from '@shallotpass/platform/settings.js';
import {readInitialSettings, watchSettings} from './watch-settings.js';

const usageExitCode = 2;

export type PlatformDaemonOptions = {
	/** Path of the settings file. */
	readonly path: string;
	/** Server that already listens for callers, if it could be started. */
	readonly earlyServer: CallersServer | undefined;
};

export const runPlatformDaemon = async ({path, earlyServer}: PlatformDaemonOptions): Promise<void> => {
	const settings = await readInitialSettings({
		path,
		read: readGatewaySettings,
		onInvalid(mistakes) {
			for (const mistake of mistakes) {
				process.stderr.write(`${formatMistake(path, mistake)}\n`);
			}
		},
	});
	if (settings === undefined) {
		process.exit(usageExitCode);
	}

	let currentSettings = settings;
	const log = openEventLog(settings.instance.id);
	if (earlyServer !== undefined && earlyServer.address !== settings.listen.callers) {
		earlyServer.server.close();
		earlyServer.server.closeAllConnections();
	}

	const gateway = await startGateway({
		settings,
		log,
		callersServer: earlyServer?.address === settings.listen.callers ? earlyServer : undefined,
		openPlatform: onStoreCall => openPlatform({
			getStoreAddress: () => currentSettings.store.address,
			getCloudAddress: () => currentSettings.cloud.address,
			onStoreCall,
		}),
	});

	const stop = async (): Promise<void> => {
		await gateway.drain();
		log.flush();
		process.exit(0);
	};

	process.on('SIGTERM', () => {
		void stop();
	});
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
};
