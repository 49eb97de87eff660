/** Branded types, so that the compiler tells apart values that share a primitive type. */

declare const brand: unique symbol;

type Brand<Value, Name extends string> = Value & {readonly [brand]: Name};

/** Point in time, in milliseconds since the epoch. */
export type Deadline = Brand<number, 'Deadline'>;

/** Position of a record in one log stream, counted from 0. */
export type LogOffset = Brand<number, 'LogOffset'>;

/** Version of a team's configuration: the log offset of its record. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>;

export type InstanceId = Brand<string, 'InstanceId'>;

export type BackendId = Brand<string, 'BackendId'>;

export type RequestId = Brand<string, 'RequestId'>;

/** Base version of a team's first configuration. */
export const noConfigurationVersion = -1 as ConfigurationVersion;

/** Returns the deadline `milliseconds` after `now`. */
export const addMilliseconds = (now: number, milliseconds: number): Deadline => (now + milliseconds) as Deadline;

export const isPast = (deadline: Deadline, now: number): boolean => now >= deadline;

/** Returns the earliest of the given deadlines, ignoring undefined ones. */
export const pickEarliest = (...deadlines: Array<Deadline | undefined>): Deadline =>
	Math.min(...deadlines.map(deadline => deadline ?? Number.POSITIVE_INFINITY)) as Deadline;
