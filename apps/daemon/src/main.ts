/** Entry point of `shallotpassd`. Reads the settings, runs one daemon, and drains it on SIGTERM or SIGINT. SIGHUP changes nothing. */
// eslint-disable-next-line import-x/order -- signals may arrive while the other modules load
import {stopRequest} from './take-signals.js';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {configurationSchema} from '@shallotpass/common/configuration-schema.js';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {collectProcessMetrics} from '@shallotpass/telemetry/metrics.js';
import {enableLogs, makeLogger} from '@shallotpass/telemetry/logger.js';
import {readSettings} from './read-settings.js';
import {startDaemon, type Daemon} from './start-daemon.js';

const usageExitCode = 2;

const exitWithUsageError = (lines: readonly string[]): never => {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exit(usageExitCode);
};

const readInitialConfiguration = (fileName: string | undefined): string | undefined => {
	if (fileName === undefined) {
		return undefined;
	}

	let text: string;
	try {
		text = readFileSync(fileName, 'utf8');
	} catch (error) {
		return exitWithUsageError([`${fileName}: cannot be read: ${error instanceof Error ? error.message : 'unknown'}`]);
	}

	const reading = readToml(text, configurationSchema);
	return reading.kind === 'read' ? text : exitWithUsageError(reading.mistakes.map(mistake => formatMistake(fileName, mistake)));
};

const waitUntilAborted = async (signal: AbortSignal): Promise<void> => {
	if (!signal.aborted) {
		await once(signal, 'abort');
	}
};

const runDaemon = async (settingsFile: string, configurationFile: string | undefined): Promise<void> => {
	const reading = readSettings(settingsFile);
	if (reading.kind === 'mistakes') {
		return exitWithUsageError(reading.lines);
	}

	const {settings} = reading;
	if (configurationFile !== undefined && settings.platform !== undefined) {
		return exitWithUsageError(['--configuration: allowed only if the settings have no [platform]; use shallotpass apply instead']);
	}

	const configurationText = readInitialConfiguration(configurationFile);
	if (stopRequest.signal.aborted) {
		return;
	}

	const drainRequest = new AbortController();
	let daemon: Daemon;
	try {
		daemon = await startDaemon({
			settings,
			configurationText,
			onDrainRequested() {
				drainRequest.abort();
			},
		});
	} catch (error) {
		return exitWithUsageError([`${settingsFile}: the daemon cannot start: ${error instanceof Error ? error.message : 'unknown'}`]);
	}

	collectProcessMetrics(daemon.environment.metrics);
	process.stdout.write(`ready callers=${daemon.callers} admin=${daemon.admin} peers=${daemon.peers}\n`);
	await waitUntilAborted(AbortSignal.any([stopRequest.signal, drainRequest.signal]));
	await daemon.drain();
	process.exit(0);
};

const command = defineCommand({
	meta: {name: 'shallotpassd', description: 'Run the shallotpass daemon of one entry instance'},
	args: {
		settings: {type: 'string', required: true, description: 'Settings file in TOML'},
		configuration: {type: 'string', description: 'Initial configuration file of a daemon without [platform]'},
	},
	async run({args}) {
		await runDaemon(args.settings, args.configuration);
	},
});

enableLogs();
// An unhandled error must not terminate the daemon, as that would abort all its streams.
const logger = makeLogger('daemon', 'process');
process.on('unhandledRejection', error => {
	logger.error('unhandled_rejection', {error});
});
process.on('uncaughtException', error => {
	logger.error('uncaught_exception', {error});
});
void runMain(command);
