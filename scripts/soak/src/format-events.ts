/** Event stream that an engine stand-in returns for each call of the soak. */

/** At 20 ms per event a stream lasts 0.6 s, so that some streams are active when their engine leaves. */
export const eventsPerStream = 30;

export const formatExpectedStream = (): string => Array.from({length: eventsPerStream}, (_value, index) => `id: ${index + 1}\ndata: word-${index + 1}\n\n`).join('');

/** Removes the software version that engines write into each event, so that streams can be compared. */
export const removeVersions = (text: string): string => text.replaceAll(/(?<=^data: word-\d+) v[\d.]+$/gmv, '');

/** Lists the software versions that wrote the events. */
export const listVersions = (text: string): string[] => [...new Set(text.match(/(?<=^data: word-\d+ )v[\d.]+(?=\n)/gmv) ?? [])];
