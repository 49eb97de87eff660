/** Commands of the `shallotpass` command line tool. A test compares them with the list in the README. */
import {defineCommand} from 'citty';
import {configurationSchema} from '@shallotpass/common/configuration-schema.js';
import {formatMistake, readToml} from '@shallotpass/common/toml-file.js';
import {explainRequest} from '@shallotpass/gateway/telemetry/explain-request.js';
import {runExperiment} from '@shallotpass/measure/run-experiment.js';
import {
	callAdmin, CliError, exitCodes, resolveTarget, makeResponseError, readTextFile, fetchJson,
} from './admin-client.js';
import {runApply} from './apply.js';
import {
	printJson, printLine, printTable, type Row,
} from './print.js';

const targetArguments = {
	admin: {type: 'string', description: 'URL of the admin listener of a daemon (default: SHALLOTPASS_ADMIN)'},
	key: {type: 'string', description: 'Operator key (default: SHALLOTPASS_KEY)'},
	json: {type: 'boolean', description: 'Print JSON'},
} as const;

const teamArgument = {
	team: {type: 'string', default: 'default', description: 'Team that the configuration belongs to'},
} as const;

const fileArgument = {
	file: {type: 'positional', required: true, description: 'Configuration file in TOML'},
} as const;

const makeTeamPath = (team: string, resource: string): string => `/admin/v1/teams/${encodeURIComponent(team)}/${resource}`;

const check = defineCommand({
	meta: {name: 'check', description: 'Check a configuration file without a daemon'},
	args: {...fileArgument, json: targetArguments.json},
	run({args}) {
		const reading = readToml(readTextFile(args.file), configurationSchema);
		if (reading.kind === 'mistakes') {
			const lines = reading.mistakes.map(mistake => formatMistake(args.file, mistake));
			if (args.json) {
				printJson({isValid: false, mistakes: reading.mistakes});
			}

			throw new CliError(lines.join('\n'), exitCodes.refused);
		}

		if (args.json) {
			printJson({isValid: true, mistakes: []});
			return;
		}

		printLine(`${args.file}: no errors found`);
	},
});

const explain = defineCommand({
	meta: {name: 'explain', description: 'Show what happened to a request, from the logs of one or more daemons'},
	args: {
		request: {type: 'positional', required: true, description: 'Request id'},
		logs: {type: 'positional', required: true, description: 'One or more log files'},
	},
	run({args}) {
		const files = args._.slice(1);
		const timeline = explainRequest(args.request, files.map(file => readTextFile(file)));
		if (timeline.length === 0) {
			throw new CliError(`no log line in ${files.join(', ')} mentions the request ${args.request}`, exitCodes.refused);
		}

		for (const line of timeline) {
			printLine(line);
		}
	},
});

const plan = defineCommand({
	meta: {name: 'plan', description: 'Show what a configuration file would change'},
	args: {...fileArgument, ...teamArgument, ...targetArguments},
	async run({args}) {
		const target = resolveTarget(args.admin, args.key);
		const planned = await fetchJson(target, `${makeTeamPath(args.team, 'configuration')}?dryRun=1`, {method: 'PUT', body: readTextFile(args.file)}) as {base: number; changes: Row[]};
		if (args.json) {
			printJson(planned);
			return;
		}

		printLine(`changes to version ${planned.base}:`);
		printTable(planned.changes, ['change', 'table', 'name']);
	},
});

const apply = defineCommand({
	meta: {name: 'apply', description: 'Replace the configuration of a team with a file'},
	args: {
		...fileArgument,
		...teamArgument,
		...targetArguments,
		base: {type: 'string', description: 'Version that the file is based on (default: the accepted version)'},
		wait: {type: 'boolean', description: 'Wait until the configuration is in force in every availability zone'},
	},
	async run({args}) {
		const base = args.base === undefined ? undefined : Number(args.base);
		if (base !== undefined && !Number.isInteger(base)) {
			throw new CliError(`--base must be a version, found ${args.base}`, exitCodes.usage);
		}

		await runApply({
			target: resolveTarget(args.admin, args.key),
			team: args.team,
			toml: readTextFile(args.file),
			wait: args.wait ?? false,
			json: args.json ?? false,
			base,
		});
	},
});

const show = defineCommand({
	meta: {name: 'show', description: 'Print the accepted configuration'},
	args: {...teamArgument, ...targetArguments},
	async run({args}) {
		const response = await callAdmin(resolveTarget(args.admin, args.key), makeTeamPath(args.team, 'configuration'));
		if (response.status >= 300) {
			throw makeResponseError(response);
		}

		if (args.json) {
			printJson({version: Number(response.etag), toml: response.text});
			return;
		}

		printLine(`# version ${response.etag}`);
		printLine(response.text.trimEnd());
	},
});

/** Makes a command that fetches a list from the daemon and prints it. */
const makeListCommand = (name: string, description: string, path: string, columns: readonly string[]) => defineCommand({
	meta: {name, description},
	args: targetArguments,
	async run({args}) {
		const body = await fetchJson(resolveTarget(args.admin, args.key), path) as Readonly<Record<string, Row[]>>;
		if (args.json) {
			printJson(body);
			return;
		}

		printTable(Object.values(body)[0] ?? [], columns);
	},
});

const history = defineCommand({
	meta: {name: 'history', description: 'List who applied a configuration, when, and whether it was accepted'},
	args: {...teamArgument, ...targetArguments},
	async run({args}) {
		const body = await fetchJson(resolveTarget(args.admin, args.key), makeTeamPath(args.team, 'history')) as {entries: Row[]};
		if (args.json) {
			printJson(body);
			return;
		}

		const entries = body.entries.map(entry => ({...entry, at: new Date(Number(entry.at)).toISOString()}));
		printTable(entries, ['offset', 'verdict', 'base', 'current', 'by', 'at', 'id']);
	},
});

const status = defineCommand({
	meta: {name: 'status', description: 'Show the state of a daemon and of each availability zone'},
	args: targetArguments,
	async run({args}) {
		const body = await fetchJson(resolveTarget(args.admin, args.key), '/admin/v1/status') as Row & {zones: Readonly<Record<string, Row>>};
		if (args.json) {
			printJson(body);
			return;
		}

		const {zones, ...rest} = body;
		printTable(Object.entries(rest).map(([what, value]) => ({what, value})), ['what', 'value']);
		printTable(Object.entries(zones).map(([zone, row]) => ({zone, ...row})), ['zone', 'members', 'silent', 'versions']);
	},
});

const quarantine = defineCommand({
	meta: {name: 'quarantine', description: 'List requests suspected of crashing backend servers, or lift the quarantine of one'},
	args: {
		...targetArguments,
		lift: {type: 'string', description: 'Fingerprint of the request that may run again'},
	},
	async run({args}) {
		const target = resolveTarget(args.admin, args.key);
		if (args.lift !== undefined) {
			const lifted = await fetchJson(target, `/admin/v1/quarantine/${encodeURIComponent(args.lift)}`, {method: 'DELETE'});
			printJson(lifted);
			return;
		}

		const body = await fetchJson(target, '/admin/v1/quarantine') as {suspects: Row[]};
		if (args.json) {
			printJson(body);
			return;
		}

		printTable(body.suspects, ['fingerprint', 'isConvicted', 'deaths', 'forgetAt']);
	},
});

const drain = defineCommand({
	meta: {name: 'drain', description: 'Stop a daemon after its running requests have finished'},
	args: targetArguments,
	async run({args}) {
		printJson(await fetchJson(resolveTarget(args.admin, args.key), '/admin/v1/drain', {method: 'POST'}));
	},
});

const measure = defineCommand({
	meta: {name: 'measure', description: 'Run an experiment with stand-ins for the external services; the last output line is a JSON object'},
	args: {
		experiment: {type: 'positional', required: true, description: 'Name of an experiment, or path of its TOML file'},
		seed: {type: 'string', description: 'Seed for random numbers'},
	},
	async run({args}) {
		const seed = args.seed === undefined ? undefined : Number(args.seed);
		if (seed !== undefined && !Number.isInteger(seed)) {
			throw new CliError(`--seed must be an integer, found ${args.seed}`, exitCodes.usage);
		}

		try {
			printJson(await runExperiment(args.experiment, seed, printLine));
		} catch (error) {
			throw new CliError(error instanceof Error ? error.message : 'the experiment failed', exitCodes.refused);
		}
	},
});

export const commands = {
	explain,
	check,
	plan,
	apply,
	show,
	history,
	status,
	members: makeListCommand('members', 'List the daemons of the region', '/admin/v1/members', ['id', 'availabilityZone', 'status', 'address']),
	backends: makeListCommand('backends', 'List the backend servers that the daemon knows', '/admin/v1/backends', ['id', 'availabilityZone', 'services', 'isLeaving', 'running', 'price', 'address']),
	quarantine,
	drain,
	measure,
} as const;
