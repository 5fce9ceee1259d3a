/** Statements that create the tables of the demonstration in a group. */
export const createTableStatements: readonly string[] = [
	'create table if not exists bookings (id text primary key, interpreter text not null, place text, starts_at timestamptz)',
	'create table if not exists boards (id int primary key, content text, updated_at timestamptz)',
	'create table if not exists pledges (id text primary key, donor text not null, trees int not null)',
	'create table if not exists reconciliation (id text primary key, subject text, amount bigint, state text)',
	'create table if not exists crocusloom_idempotency (key text primary key, answer text)',
];
