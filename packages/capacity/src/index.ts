/** Placeholder until the package has exports. */
export type Placeholder = never;
