/** The stream that an engine of the soak gives for each call. */

export const eventsPerStream = 5;

export const formatEvents = (): string => Array.from({length: eventsPerStream}, (_value, index) => `id: ${index + 1}\ndata: word-${index + 1}\n\n`).join('');
