/** Entry point of `shallotpassd`. Reads the settings, runs one daemon, and drains it on SIGTERM or SIGINT. */
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

const drainAndExit = async (daemon: Daemon): Promise<void> => {
	await daemon.drain();
	process.exit(0);
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
	let daemon: Daemon;
	try {
		daemon = await startDaemon({
			settings,
			configurationText,
			onDrainRequested() {
				void drainAndExit(daemon);
			},
		});
	} catch (error) {
		return exitWithUsageError([`${settingsFile}: the daemon cannot start: ${error instanceof Error ? error.message : 'unknown'}`]);
	}

	collectProcessMetrics(daemon.environment.metrics);
	process.once('SIGTERM', () => {
		void drainAndExit(daemon);
	});
	process.once('SIGINT', () => {
		void drainAndExit(daemon);
	});
	process.stdout.write(`ready callers=${daemon.callers} admin=${daemon.admin} peers=${daemon.peers}\n`);
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
