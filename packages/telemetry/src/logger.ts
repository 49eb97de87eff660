/** Structured logging: one JSON object per line on standard error. The `DEBUG` variable selects namespaces. */
import process from 'node:process';
import createDebug from 'debug';

export type LogFields = Readonly<Record<string, unknown>>;

export type Logger = {
	readonly debug: (event: string, fields?: LogFields) => void;
	readonly info: (event: string, fields?: LogFields) => void;
	readonly warn: (event: string, fields?: LogFields) => void;
	readonly error: (event: string, fields?: LogFields) => void;
};

/** Namespaces that are enabled if DEBUG is not set. */
const defaultNamespaces = 'shallotpass:info:*,shallotpass:warn:*,shallotpass:error:*';

type Level = keyof Logger;

/** Enables the default namespaces unless DEBUG is set in the environment. Call this once at startup. */
export const enableLogs = (environment: NodeJS.ProcessEnv = process.env): void => {
	if (environment.DEBUG === undefined) {
		createDebug.enable(defaultNamespaces);
	}
};

const serializeError = (value: unknown): unknown => {
	if (!(value instanceof Error)) {
		return value;
	}

	return {name: value.name, message: value.message, cause: value.cause instanceof Error ? value.cause.message : undefined};
};

type LogSource = {
	readonly level: Level;
	readonly task: string;
	readonly instance: string;
};

const formatLine = (source: LogSource, event: string, fields: LogFields): string => JSON.stringify({
	at: new Date().toISOString(),
	...source,
	event,
	...Object.fromEntries(Object.entries(fields).map(([key, value]) => [key, serializeError(value)])),
});

const makeLogFunction = (level: Level, task: string, instance: string): Logger[Level] => {
	const namespaceLog = createDebug(`shallotpass:${level}:${task}`);
	namespaceLog.log = (_format: unknown, line: unknown) => {
		process.stderr.write(`${String(line)}\n`);
	};

	return (event, fields = {}) => {
		if (namespaceLog.enabled) {
			namespaceLog('%s', formatLine({level, task, instance}, event, fields));
		}
	};
};

createDebug.formatArgs = () => {/* the line is already formatted */};

/** Makes a logger for one task of an instance. Its namespaces are `shallotpass:LEVEL:TASK`. */
export const makeLogger = (task: string, instance: string): Logger => ({
	debug: makeLogFunction('debug', task, instance),
	info: makeLogFunction('info', task, instance),
	warn: makeLogFunction('warn', task, instance),
	error: makeLogFunction('error', task, instance),
});
