/** Measures how resource use grows with load (the slopes of docs/CAPACITY.md) and writes the table. */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {z} from 'zod';
import {type Experiment, type Report} from './experiment.js';
import {measureCoreSlopes} from './slopes/core-slopes.js';
import {formatSlopes} from './slopes/slope.js';
import {measureSocketSlopes} from './slopes/socket-slopes.js';

const schema = z.strictObject({
	experiment: z.literal('slopes'),
	seed: z.int(),
	/** Whether to replace the table in docs/CAPACITY.md; the table is always written to reports/slopes.md. */
	writePage: z.boolean(),
});

const root = fileURLToPath(new URL('../../../', import.meta.url));
const pageFile = `${root}docs/CAPACITY.md`;
const tableStart = '<!-- slopes: written by npm run measure -- slopes -->';
const tableEnd = '<!-- end of slopes -->';

const replaceTable = (page: string, table: string): string => {
	const start = page.indexOf(tableStart);
	const end = page.indexOf(tableEnd);
	if (start === -1 || end < start) {
		throw new Error(`docs/CAPACITY.md: expected the markers ${tableStart} and ${tableEnd}`);
	}

	return `${page.slice(0, start + tableStart.length)}\n\n${table}\n\n${page.slice(end)}`;
};

const run = async (options: z.output<typeof schema>, printLine: (line: string) => void): Promise<Report> => {
	if (globalThis.gc === undefined) {
		printLine('without --expose-gc, the measured memory of claims is only an upper bound');
	}

	const slopes = [...await measureCoreSlopes(), ...await measureSocketSlopes()];
	const table = formatSlopes(slopes);
	printLine(table);
	mkdirSync(`${root}reports`, {recursive: true});
	writeFileSync(`${root}reports/slopes.md`, `${table}\n`);
	if (options.writePage) {
		writeFileSync(pageFile, replaceTable(readFileSync(pageFile, 'utf8'), table));
	}

	return {experiment: 'slopes', seed: options.seed, slopes};
};

export const slopesExperiment: Experiment<typeof schema> = {name: 'slopes', schema, run};
