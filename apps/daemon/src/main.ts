/** `shallotpassd`: reads the settings, runs one daemon, and drains on SIGTERM. */
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

const refuse = (lines: readonly string[]): never => {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exit(usageExitCode);
};

const readFirstConfiguration = (fileName: string | undefined): string | undefined => {
	if (fileName === undefined) {
		return undefined;
	}

	let text: string;
	try {
		text = readFileSync(fileName, 'utf8');
	} catch (error) {
		return refuse([`${fileName}: cannot be read: ${error instanceof Error ? error.message : 'unknown'}`]);
	}

	const reading = readToml(text, configurationSchema);
	return reading.kind === 'read' ? text : refuse(reading.mistakes.map(mistake => formatMistake(fileName, mistake)));
};

const drainAndExit = async (daemon: Daemon): Promise<void> => {
	await daemon.drain();
	process.exit(0);
};

const run = async (settingsFile: string, configurationFile: string | undefined): Promise<void> => {
	const reading = readSettings(settingsFile);
	if (reading.kind === 'mistakes') {
		return refuse(reading.lines);
	}

	const {settings} = reading;
	if (configurationFile !== undefined && settings.platform !== undefined) {
		return refuse(['--configuration: only for a daemon without [platform]; otherwise use shallotpass apply']);
	}

	const configurationText = readFirstConfiguration(configurationFile);
	let daemon: Daemon;
	try {
		daemon = await startDaemon({
			settings,
			configurationText,
			onDrainAsked() {
				void drainAndExit(daemon);
			},
		});
	} catch (error) {
		return refuse([`${settingsFile}: the daemon cannot start: ${error instanceof Error ? error.message : 'unknown'}`]);
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
	meta: {name: 'shallotpassd', description: 'The shallotpass daemon of one entry instance'},
	args: {
		settings: {type: 'string', required: true, description: 'Settings file in TOML'},
		configuration: {type: 'string', description: 'First configuration of a daemon without [platform]'},
	},
	async run({args}) {
		await run(args.settings, args.configuration);
	},
});

enableLogs();
// A fault that no task has foreseen must not end the daemon and cut every stream with it.
const logger = makeLogger('daemon', 'process');
process.on('unhandledRejection', error => {
	logger.error('unhandled_rejection', {error});
});
process.on('uncaughtException', error => {
	logger.error('uncaught_exception', {error});
});
void runMain(command);
