/** What connections, requests and fields take in memory beside their bytes. The figures stand in docs/CAPACITY.md. */

/** Objects of an open connection: its socket, its parser and their listeners. */
export const connectionBytes = 6000;

/** What it takes beside the JavaScript heap. */
export const connectionNativeBytes = 5000;

/** A request whose answer is owed: the request, its response, and what follows the call. */
export const requestBytes = 20_000;

/** Bytes of objects for each byte of a head or of trailers: a field of one letter takes two strings and an entry in a map. */
export const bytesPerHeadByte = 12;
