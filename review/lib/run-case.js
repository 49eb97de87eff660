/** Runs a case, ends what it started in any case, and exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

/** A case ends itself after this time. */
const maxRunMs = 100_000;

/** `run` adds the processes that it starts to `children`, and returns whether the rule was broken. */
export const runCase = async run => {
	const temporary = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	const children = [];
	let isEnded = false;
	const endWith = exitCode => {
		if (isEnded) {
			return;
		}

		isEnded = true;
		for (const child of children) {
			child.kill('SIGKILL');
		}

		rmSync(temporary, {recursive: true, force: true});
		process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- the end of the script of a case, also while connections are open
	};

	const failToRun = reason => {
		process.stderr.write(`the case could not run: ${reason}\n`);
		endWith(2);
	};

	// An error of the script says nothing of the rule.
	process.on('uncaughtException', error => {
		failToRun(error.stack);
	});
	for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
		process.on(signal, () => {
			failToRun(signal);
		});
	}

	setTimeout(() => {
		failToRun('it took longer than 100 s');
	}, maxRunMs);

	try {
		endWith(await run({temporary, children}) ? 1 : 0);
	} catch (error) {
		failToRun(error.stack);
	}
};
