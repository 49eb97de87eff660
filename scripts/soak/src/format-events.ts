/** Event stream that an engine stand-in returns for each call of the soak. */

/** At 20 ms per event a stream lasts 0.6 s, so that some streams are active when their engine leaves. */
export const eventsPerStream = 30;

export const formatExpectedStream = (): string => Array.from({length: eventsPerStream}, (_value, index) => `id: ${index + 1}\ndata: word-${index + 1}\n\n`).join('');
