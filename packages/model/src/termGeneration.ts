/**
 * Terms of a group are numbered within the generation of its list of databases. Each term of a generation is above all terms of
 * earlier ones, so that a database that was fenced in a generation refuses every host that has an earlier list.
 */

/** Number of terms of one generation. 2,147 generations fit into a 32-bit column. */
export const termsPerGeneration = 1_000_000;

/** Returns the generation of the list of databases in which a term was taken. */
export function generationOfTerm(term: number): number {
	return Math.floor(term / termsPerGeneration);
}

/**
 * Returns the term that follows all known terms.
 * @param highestKnownTerm - highest term that the databases have reported
 * @param generation - generation of the list of databases of the host that takes the term
 * @returns undefined if a later generation is known or the generation has no term left
 */
export function nextTerm(highestKnownTerm: number, generation: number): number | undefined {
	const term = 1 + Math.max(highestKnownTerm, generation * termsPerGeneration);
	return generationOfTerm(term) === generation ? term : undefined;
}
