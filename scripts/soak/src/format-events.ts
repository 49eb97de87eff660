/** The stream that an engine of the soak gives for each call. */

/** At 20 ms each a stream lasts 0.6 s, so that some are under way when their engine leaves. */
export const eventsPerStream = 30;

export const formatEvents = (): string => Array.from({length: eventsPerStream}, (_value, index) => `id: ${index + 1}\ndata: word-${index + 1}\n\n`).join('');
