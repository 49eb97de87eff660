/** Structured logs: one JSON object a line on standard error, switched by namespace (`DEBUG`). */
import process from 'node:process';
import createDebug from 'debug';

export type LogFields = Readonly<Record<string, unknown>>;

export type Logger = {
	readonly debug: (event: string, fields?: LogFields) => void;
	readonly info: (event: string, fields?: LogFields) => void;
	readonly warn: (event: string, fields?: LogFields) => void;
	readonly error: (event: string, fields?: LogFields) => void;
};

/** Namespaces that are on when DEBUG is not set. */
const usualNamespaces = 'shallotpass:info:*,shallotpass:warn:*,shallotpass:error:*';

type Level = keyof Logger;

/** Turns on the usual namespaces unless the environment names its own; call once at start. */
export const enableLogs = (environment: NodeJS.ProcessEnv = process.env): void => {
	if (environment.DEBUG === undefined) {
		createDebug.enable(usualNamespaces);
	}
};

const describeError = (value: unknown): unknown => {
	if (!(value instanceof Error)) {
		return value;
	}

	return {name: value.name, message: value.message, cause: value.cause instanceof Error ? value.cause.message : undefined};
};

type LineSource = {
	readonly level: Level;
	readonly task: string;
	readonly instance: string;
};

const formatLine = (source: LineSource, event: string, fields: LogFields): string => JSON.stringify({
	at: new Date().toISOString(),
	...source,
	event,
	...Object.fromEntries(Object.entries(fields).map(([key, value]) => [key, describeError(value)])),
});

const makeLevel = (level: Level, task: string, instance: string): Logger[Level] => {
	const write = createDebug(`shallotpass:${level}:${task}`);
	write.log = (_format: unknown, line: unknown) => {
		process.stderr.write(`${String(line)}\n`);
	};

	return (event, fields = {}) => {
		if (write.enabled) {
			write('%s', formatLine({level, task, instance}, event, fields));
		}
	};
};

createDebug.formatArgs = () => {/* the line is complete as it is */};

export const makeLogger = (task: string, instance: string): Logger => ({
	debug: makeLevel('debug', task, instance),
	info: makeLevel('info', task, instance),
	warn: makeLevel('warn', task, instance),
	error: makeLevel('error', task, instance),
});
