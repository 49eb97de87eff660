/** The daemon on the users' platform. */
// eslint-disable-next-line import-x/order -- signals may come while the other modules load
import './ignore-early-signals.js';
import process from 'node:process';
import {formatMistake} from '@shallotpass/common/toml-file.js';
import {openEventLog} from '@shallotpass/gateway/event-log.js';
import {startGateway} from '@shallotpass/gateway/start-gateway.js';
import {openPlatform} from '@shallotpass/platform/open-platform.js';
import {readGatewaySettings, settingsPathVariable} from '@shallotpass/platform/settings.js';
import {readFirstSettings, watchSettings} from './watch-settings.js';

const usageExit = 2;

const path = process.env[settingsPathVariable];
if (path === undefined) {
	process.stderr.write(`${settingsPathVariable} must name the settings file\n`);
	process.exit(usageExit);
}

const settings = await readFirstSettings({
	path,
	read: readGatewaySettings,
	onRefusal(mistakes) {
		for (const mistake of mistakes) {
			process.stderr.write(`${formatMistake(path, mistake)}\n`);
		}
	},
});
if (settings === undefined) {
	process.exit(usageExit);
}

let current = settings;
const log = openEventLog(settings.instance.id);
const gateway = await startGateway({
	settings,
	log,
	openPlatform: onStoreCall => openPlatform({
		getStoreAddress: () => current.store.address,
		getCloudAddress: () => current.cloud.address,
		onStoreCall,
	}),
});

const stop = async (): Promise<void> => {
	await gateway.drain();
	log.flush();
	process.exit(0);
};

process.once('SIGTERM', () => {
	void stop();
});
const watcher = watchSettings({
	path,
	read: readGatewaySettings,
	onChange(next) {
		current = next;
		gateway.reload(next);
	},
	onRefusal(mistakes) {
		log.write('failure', 'settings_refused', {mistakes});
	},
});

process.on('SIGHUP', () => {
	log.write('belief', 'reload_asked', {path});
	watcher.look();
});
