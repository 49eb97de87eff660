/** Entry point of the `shallotpass` command line tool. Exit codes: 0 success, 1 refused, 2 usage error, 3 daemon unreachable or outcome unknown. */
import process from 'node:process';
import {defineCommand, runCommand, showUsage} from 'citty';
import {CliError, exitCodes} from './admin-client.js';
import {commands} from './commands.js';

const main = defineCommand({
	meta: {name: 'shallotpass', description: 'Command line tool for shallotpass operators'},
	subCommands: commands,
});

/** Whether the error comes from citty, which throws it for invalid arguments. */
const isUsageError = (error: unknown): error is Error => error instanceof Error && error.name === 'CLIError';

const run = async (args: string[]): Promise<number> => {
	const [name = ''] = args;
	const command = Object.hasOwn(commands, name) ? commands[name as keyof typeof commands] : undefined;
	if (args.includes('--help') || args.includes('-h')) {
		await (command === undefined ? showUsage(main) : showUsage(command as typeof main, main));
		return exitCodes.success;
	}

	if (command === undefined) {
		process.stderr.write(`shallotpass: ${name === '' ? 'no command is given' : `there is no command ${name}`}; the commands are ${Object.keys(commands).join(', ')}\n`);
		return exitCodes.usage;
	}

	try {
		await runCommand(main, {rawArgs: args});
		return exitCodes.success;
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
