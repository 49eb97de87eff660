import {type z} from 'zod';

/** The result of an experiment, printed as one JSON object. */
export type Report = Readonly<Record<string, unknown>>;

/** An experiment: the schema of its options file, and the function that runs it. `printLine` reports progress. */
export type Experiment<Schema extends z.ZodType = z.ZodType> = {
	readonly name: string;
	readonly schema: Schema;
	readonly run: (options: z.output<Schema>, printLine: (line: string) => void) => Promise<Report>;
};
