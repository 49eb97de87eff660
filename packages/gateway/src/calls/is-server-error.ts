/** Whether a response is an error of the backend server. */
import type http from 'node:http';

/** Lowest status of an error of the server. */
const minServerErrorStatus = 500;

export const isServerError = ({statusCode = 0}: Pick<http.IncomingMessage, 'statusCode'>): boolean => statusCode >= minServerErrorStatus;
