/** Output of the commands: tables for people and JSON for programs. */
import process from 'node:process';

export type Row = Readonly<Record<string, unknown>>;

const formatCell = (value: unknown): string => {
	if (value === undefined) {
		return '-';
	}

	return typeof value === 'string' ? value : JSON.stringify(value);
};

export const printLine = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

export const printJson = (value: unknown): void => {
	printLine(JSON.stringify(value));
};

export const printTable = (rows: readonly Row[], columns: readonly string[]): void => {
	if (rows.length === 0) {
		printLine('none');
		return;
	}

	const cells = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_column, index) => Math.max(...cells.map(line => line[index]!.length)));
	for (const line of cells) {
		printLine(line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd());
	}
};
