/**
 * Headers of a call to the platform that close its connection after the response. An idle connection may die without a reset, and the
 * next call over it would wait for its whole timeout before the change that it asks for can be noticed.
 */
export const freshConnectionHeaders: Readonly<Record<string, string>> = {connection: 'close'};
