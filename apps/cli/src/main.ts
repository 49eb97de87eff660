/** `shallotpass`: the operator's tool. Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable or unknown. */
import process from 'node:process';
import {defineCommand, runCommand, showUsage} from 'citty';
import {CliError, exitCodes} from './admin-client.js';
import {commands} from './commands.js';

const main = defineCommand({
	meta: {name: 'shallotpass', description: 'Operates a shallotpass system'},
	subCommands: commands,
});

const isUsageError = (error: unknown): error is Error => error instanceof Error && error.name === 'CLIError';

const run = async (words: string[]): Promise<number> => {
	const [name = ''] = words;
	const command = Object.hasOwn(commands, name) ? commands[name as keyof typeof commands] : undefined;
	if (words.includes('--help') || words.includes('-h')) {
		await (command === undefined ? showUsage(main) : showUsage(command as typeof main, main));
		return exitCodes.done;
	}

	if (command === undefined) {
		process.stderr.write(`shallotpass: ${name === '' ? 'no command is given' : `there is no command ${name}`}; the commands are ${Object.keys(commands).join(', ')}\n`);
		return exitCodes.usage;
	}

	try {
		await runCommand(main, {rawArgs: words});
		return exitCodes.done;
	} catch (error) {
		if (error instanceof CliError) {
			process.stderr.write(`${error.message}\n`);
			return error.exitCode;
		}

		if (isUsageError(error)) {
			process.stderr.write(`shallotpass ${name}: ${error.message}\n`);
			return exitCodes.usage;
		}

		throw error;
	}
};

process.exit(await run(process.argv.slice(2)));
