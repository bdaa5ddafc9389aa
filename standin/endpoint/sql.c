#include "sql.h"

#include <apr_strings.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum token_kind { TOKEN_END, TOKEN_WORD, TOKEN_LITERAL, TOKEN_PARAM, TOKEN_OP };

/* Parser with one token of lookahead. */
struct parser {
	const char *pos; /* behind the current token */
	apr_pool_t *pool;
	enum token_kind kind; /* of the current token */
	const char *text; /* of the current token, words in lower case */
	bool failed; /* syntax error */
};

static void read_word(struct parser *p)
{
	const char *start = p->pos;
	char *c;

	while (isalnum((unsigned char)*p->pos) || *p->pos == '_')
		p->pos++;
	p->kind = TOKEN_WORD;
	c = apr_pstrmemdup(p->pool, start, (apr_size_t)(p->pos - start));
	p->text = c;
	for (; *c; c++)
		*c = (char)tolower((unsigned char)*c);
}

static void read_number(struct parser *p, enum token_kind kind)
{
	const char *start = p->pos;

	while (isdigit((unsigned char)*p->pos) || *p->pos == '.')
		p->pos++;
	p->kind = kind;
	p->text = apr_pstrmemdup(p->pool, start, (apr_size_t)(p->pos - start));
}

static void read_string(struct parser *p)
{
	char *out = apr_palloc(p->pool, strlen(p->pos) + 1);

	p->kind = TOKEN_LITERAL;
	p->text = out;
	for (p->pos++; *p->pos; p->pos++) {
		if (*p->pos == '\'' && *++p->pos != '\'')
			break;
		*out++ = *p->pos;
	}
	*out = '\0';
}

static void read_op(struct parser *p)
{
	size_t size = strchr("<>", *p->pos) && p->pos[1] == '=' ? 2 : 1;

	p->kind = TOKEN_OP;
	p->text = apr_pstrmemdup(p->pool, p->pos, size);
	p->pos += size;
}

static void next_token(struct parser *p)
{
	while (isspace((unsigned char)*p->pos))
		p->pos++;
	if (!*p->pos) {
		p->kind = TOKEN_END;
		p->text = "";
	} else if (*p->pos == '\'') {
		read_string(p);
	} else if (*p->pos == '$') {
		p->pos++;
		read_number(p, TOKEN_PARAM);
	} else if (isdigit((unsigned char)*p->pos)) {
		read_number(p, TOKEN_LITERAL);
	} else if (isalpha((unsigned char)*p->pos) || *p->pos == '_') {
		read_word(p);
	} else {
		read_op(p);
	}
}

static bool is_token(const struct parser *p, const char *text)
{
	return (p->kind == TOKEN_WORD || p->kind == TOKEN_OP) &&
	       !strcmp(p->text, text);
}

static bool accept_token(struct parser *p, const char *text)
{
	if (!is_token(p, text))
		return false;
	next_token(p);
	return true;
}

static void expect_token(struct parser *p, const char *text)
{
	if (!accept_token(p, text))
		p->failed = true;
}

static const char *expect_word(struct parser *p)
{
	const char *word = p->text;

	if (p->kind != TOKEN_WORD)
		p->failed = true;
	next_token(p);
	return word;
}

static void parse_cast(struct parser *p)
{
	if (!accept_token(p, ":"))
		return;
	expect_token(p, ":");
	expect_word(p);
}

static struct sql_operand parse_operand(struct parser *p)
{
	struct sql_operand o = { 0 };
	bool negative = accept_token(p, "-");

	if (p->kind == TOKEN_PARAM)
		o.param = (uint32_t)strtoul(p->text, NULL, 10);
	else if (p->kind == TOKEN_LITERAL)
		o.text = negative ? apr_pstrcat(p->pool, "-", p->text, NULL) :
				    p->text;
	else if (!is_token(p, "null"))
		p->failed = true;
	if (p->kind == TOKEN_PARAM && o.param == 0)
		p->failed = true;
	next_token(p);
	parse_cast(p);
	return o;
}

static enum sql_compare parse_compare(struct parser *p)
{
	static const char *const texts[] = { "=", ">=", "<=", ">", "<" };

	for (uint32_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		if (accept_token(p, texts[i]))
			return (enum sql_compare)i;
	p->failed = true;
	return SQL_EQ;
}

static void parse_where(struct parser *p, struct sql_statement *st)
{
	if (!accept_token(p, "where"))
		return;
	do {
		struct sql_condition *t = &st->conditions[st->condition_count];

		t->column = expect_word(p);
		t->compare = parse_compare(p);
		t->operand = parse_operand(p);
		if (++st->condition_count == SQL_CLAUSE_ITEMS_MAX)
			p->failed = true;
	} while (!p->failed && accept_token(p, "and"));
}

static void parse_columns(struct parser *p, struct sql_statement *st)
{
	do {
		st->columns[st->column_count] = expect_word(p);
		if (++st->column_count == SQL_COLUMNS_MAX)
			p->failed = true;
	} while (!p->failed && accept_token(p, ","));
}

static void parse_operands(struct parser *p, struct sql_statement *st)
{
	expect_token(p, "(");
	if (accept_token(p, ")"))
		return;
	do {
		st->operands[st->operand_count] = parse_operand(p);
		if (++st->operand_count == SQL_COLUMNS_MAX)
			p->failed = true;
	} while (!p->failed && accept_token(p, ","));
	expect_token(p, ")");
}

static void parse_begin(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_BEGIN;
	accept_token(p, "transaction");
	if (accept_token(p, "read")) {
		st->read_only = is_token(p, "only");
		next_token(p);
	}
}

static void parse_commit(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_COMMIT;
}

static void parse_rollback(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_ROLLBACK;
}

static void parse_set(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_SET;
	while (p->kind != TOKEN_END)
		next_token(p);
}

static void parse_from(struct parser *p, struct sql_statement *st)
{
	expect_token(p, "from");
	st->name = expect_word(p);
	if (is_token(p, "(")) {
		st->kind = SQL_FUNCTION;
		parse_operands(p, st);
	} else {
		parse_where(p, st);
	}
}

static void parse_count(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_COUNT;
	expect_token(p, "(");
	expect_token(p, "*");
	expect_token(p, ")");
	parse_from(p, st);
}

static void parse_select(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_SELECT;
	if (p->kind == TOKEN_LITERAL) {
		st->kind = SQL_CONSTANT;
		st->operands[st->operand_count++] = parse_operand(p);
		return;
	}
	if (accept_token(p, "*")) {
		st->has_last_column = accept_token(p, ",");
		if (st->has_last_column)
			st->last_column = parse_operand(p);
		parse_from(p, st);
		if (st->has_last_column && st->kind != SQL_FUNCTION)
			p->failed = true;
		return;
	}
	if (accept_token(p, "count")) {
		parse_count(p, st);
		return;
	}
	parse_columns(p, st);
	if (is_token(p, "(") && st->column_count == 1) {
		st->kind = SQL_FUNCTION;
		st->name = st->columns[0];
		st->column_count = 0;
		parse_operands(p, st);
		return;
	}
	parse_from(p, st);
}

static void parse_insert(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_INSERT;
	expect_token(p, "into");
	st->name = expect_word(p);
	expect_token(p, "(");
	parse_columns(p, st);
	expect_token(p, ")");
	expect_token(p, "values");
	parse_operands(p, st);
	if (st->column_count != st->operand_count)
		p->failed = true;
}

static void parse_update(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_UPDATE;
	st->name = expect_word(p);
	expect_token(p, "set");
	do {
		struct sql_assignment *a;

		a = &st->assignments[st->assignment_count];
		a->column = expect_word(p);
		expect_token(p, "=");
		if (is_token(p, a->column)) {
			next_token(p);
			a->sign = is_token(p, "-") ? '-' : '+';
			if (!is_token(p, "-") && !is_token(p, "+"))
				p->failed = true;
			next_token(p);
		}
		a->operand = parse_operand(p);
		if (++st->assignment_count == SQL_CLAUSE_ITEMS_MAX)
			p->failed = true;
	} while (!p->failed && accept_token(p, ","));
	parse_where(p, st);
}

static void parse_delete(struct parser *p, struct sql_statement *st)
{
	st->kind = SQL_DELETE;
	expect_token(p, "from");
	st->name = expect_word(p);
	parse_where(p, st);
}

static const struct statement_parser {
	const char *keyword;
	void (*parse)(struct parser *p, struct sql_statement *st);
} statement_parsers[] = {
	{ "begin", parse_begin },    { "commit", parse_commit },
	{ "end", parse_commit },     { "rollback", parse_rollback },
	{ "abort", parse_rollback }, { "set", parse_set },
	{ "select", parse_select },  { "insert", parse_insert },
	{ "update", parse_update },  { "delete", parse_delete },
};

struct sql_statement *sql_parse(const char *text, apr_pool_t *pool)
{
	struct sql_statement *st = apr_pcalloc(pool, sizeof(*st));
	struct parser p = { .pos = text, .pool = pool };

	next_token(&p);
	if (p.kind == TOKEN_END)
		return st;
	p.failed = true;
	for (uint32_t i = 0;
	     i < sizeof(statement_parsers) / sizeof(statement_parsers[0]);
	     i++) {
		if (!accept_token(&p, statement_parsers[i].keyword))
			continue;
		p.failed = false;
		statement_parsers[i].parse(&p, st);
		break;
	}
	accept_token(&p, ";");
	return p.failed || p.kind != TOKEN_END ? NULL : st;
}

bool sql_is_write(const struct sql_statement *st)
{
	return st->kind == SQL_INSERT || st->kind == SQL_UPDATE ||
	       st->kind == SQL_DELETE;
}
