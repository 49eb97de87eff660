/**
 * Must be imported before modules that start anything. An error that nobody handles would end the process with all its calls. It
 * is reported instead, and the process goes on as soon as callers may wait for it. Before that it ends, as it cannot start.
 */
import process from 'node:process';

const failureExitCode = 1;

export type ErrorReporter = (error: unknown, origin: NodeJS.UncaughtExceptionOrigin) => void;

const writeToStandardError = (error: unknown): void => {
	process.stderr.write(`${error instanceof Error ? error.stack ?? error.message : String(error)}\n`);
};

const endProcess: ErrorReporter = error => {
	writeToStandardError(error);
	process.exit(failureExitCode);
};

let report = endProcess;

/** Keeps the process from ending at an error that nobody handles, which `reporter` is told from now on; standard error by default. */
export const keepAliveAtErrors = (reporter: ErrorReporter = writeToStandardError): void => {
	report = reporter;
};

// Its reader may have closed it, which would be an error that nobody handles again.
process.stderr.on('error', () => {/* nobody reads it */});
process.on('uncaughtException', (error, origin) => {
	try {
		report(error, origin);
	} catch (reportError) {
		writeToStandardError(error);
		writeToStandardError(reportError);
	}
});
