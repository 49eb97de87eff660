import {type z} from 'zod';

export type Report = Readonly<Record<string, unknown>>;

/** An experiment: the schema of its file, and what it does. */
export type Experiment<Schema extends z.ZodType = z.ZodType> = {
	readonly name: string;
	readonly schema: Schema;
	readonly run: (options: z.output<Schema>, tell: (line: string) => void) => Promise<Report>;
};
