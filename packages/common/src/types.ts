/** Branded types for values that are easily mixed up. */

declare const brand: unique symbol;

type Brand<Value, Name extends string> = Value & {readonly [brand]: Name};

/** Milliseconds since the epoch at which something ends. */
export type Deadline = Brand<number, 'Deadline'>;

/** Position of a record in one log stream, counted from 0. */
export type LogOffset = Brand<number, 'LogOffset'>;

/** Version of a team's configuration: the offset of the record that carried it. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>;

export type InstanceId = Brand<string, 'InstanceId'>;

export type BackendId = Brand<string, 'BackendId'>;

export type RequestId = Brand<string, 'RequestId'>;

/** The version a record is based on when its team has no configuration yet. */
export const noConfigurationVersion = -1 as ConfigurationVersion;

/** Makes a deadline that lies `milliseconds` after `now`. */
export const addMilliseconds = (now: number, milliseconds: number): Deadline => (now + milliseconds) as Deadline;

export const isPast = (deadline: Deadline, now: number): boolean => now >= deadline;

/** The earlier of the deadlines that are given. */
export const pickEarliest = (...deadlines: Array<Deadline | undefined>): Deadline =>
	Math.min(...deadlines.map(deadline => deadline ?? Number.POSITIVE_INFINITY)) as Deadline;
