/** Bounds of values that other programs write. Decoders apply them, so that state holds only values that can have a meaning. */
import * as z from 'zod';

/** Longest delay that Node's timers take, in milliseconds. A longer one would fire at once. */
export const maxTimerMs = 2_147_483_647;

/** Returns a delay that a timer takes. What is no number or lies in the past counts as 0. */
export const limitTimerMs = (ms: number): number => ms > 0 ? Math.min(ms, maxTimerMs) : 0;

/** A day, in milliseconds. No call, stream or shutdown lasts longer, and what is computed from it still fits a timer. */
export const maxSpanMs = 86_400_000;

/** Beyond it sums of thousands of amounts are no longer exact, or become infinite. */
export const maxAmount = 1e12;

/** The end of the year 2100, in milliseconds since the epoch. */
export const maxEpochMs = 4_133_980_799_999;

/** Daemons tell each other versions and services of at most this length. */
export const maxTextLength = 256;

const octet = String.raw`(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)`;
const port = String.raw`(?:6553[0-5]|655[0-2]\d|65[0-4]\d{2}|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})`;
const addressPattern = new RegExp(String.raw`^${octet}(?:\.${octet}){3}:${port}$`, 'v');

/** IP address and port to which a connection can be opened. */
export const addressSchema = z.string().regex(addressPattern, 'an IP address and a port such as 10.1.0.16:8360');

/** Text for logs, metrics and records: without control characters, line breaks and half characters. */
export const textSchema = z.string().max(maxTextLength).regex(/^[^\p{Cc}\p{Cs}\p{Zl}\p{Zp}]+$/v, 'text without control characters');

/** Text that also stands in header fields. */
export const tokenSchema = z.string().regex(/^[\u0021-\u007E]{1,256}$/v, 'visible characters of ASCII');

const limitAmount = (amount: number): number => Math.min(maxAmount, Math.max(0, amount));

/** Number of things or units. What is out of bounds counts as the bound. */
export const amountSchema = z.number().overwrite(amount => limitAmount(amount));

/** Time span in milliseconds. What is out of bounds counts as the bound. */
export const spanSchema = z.number().overwrite(ms => Math.min(maxSpanMs, Math.max(0, ms)));

/** Number of either sign, such as a rank. */
export const boundedSchema = z.number().overwrite(value => Math.min(maxAmount, Math.max(-maxAmount, value)));

/** Position of a record in a topic. */
export const offsetSchema = z.int().nonnegative();

/** Text that Node takes as the value of a header field. */
export const headerTextSchema = z.string().max(maxTextLength).regex(/^[\t\u0020-\u007E\u0080-\u00FF]*$/v, 'text of a header field');

/** Age in milliseconds. What was never confirmed is as old as can be. */
export const ageSchema = z.number().overwrite(ms => Math.min(Number.MAX_SAFE_INTEGER, Math.max(0, ms)));

/** Version of a configuration. A larger one would hide all that follow. */
export const configurationVersionSchema = z.number().nonnegative().max(Number.MAX_SAFE_INTEGER);

const isAmount = (amount: number): boolean => amount >= 0 && amount <= maxAmount;

/** Amounts by a key. They are checked at once, as reports have thousands of them several times a second. */
export const amountsSchema = z.record(z.string(), z.number()).transform(amounts => Object.values(amounts).every(amount => isAmount(amount))
	? amounts
	: Object.fromEntries(Object.entries(amounts).map(([key, amount]) => [key, limitAmount(amount)])));

/** Amounts by their position. */
export const amountListSchema = z.array(z.number()).transform(amounts => amounts.every(amount => isAmount(amount)) ? amounts : amounts.map(amount => limitAmount(amount)));

/** True time in milliseconds since the epoch. */
export const trueTimeSchema = z.number().nonnegative().max(maxEpochMs);
