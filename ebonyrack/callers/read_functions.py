"""PostgreSQL functions and operators by whether they write or need a session."""

from __future__ import annotations

AGGREGATES = """
array_agg avg bit_and bit_or bit_xor bool_and bool_or corr count covar_pop covar_samp
every json_agg json_agg_strict json_object_agg jsonb_agg jsonb_agg_strict
jsonb_object_agg max min mode percentile_cont percentile_disc range_agg
range_intersect_agg regr_avgx regr_avgy regr_count regr_intercept regr_r2 regr_slope
stddev stddev_pop stddev_samp string_agg sum var_pop var_samp variance
"""
WINDOW_FUNCTIONS = """
cume_dist dense_rank first_value lag last_value lead nth_value ntile percent_rank rank
row_number
"""
MATHEMATICS = """
abs acos asin atan atan2 cbrt ceil ceiling cos cot degrees div erf erfc exp factorial
floor gcd lcm ln log log10 min_scale mod pi power radians random round scale sign sin
sqrt tan trim_scale trunc width_bucket
"""
STRINGS = """
ascii bit_count bit_length btrim casefold char_length character_length chr concat
concat_ws convert convert_from convert_to crc32 crc32c decode encode format get_bit
get_byte initcap left length like_escape lower lpad ltrim md5 normalize octet_length
overlay parse_ident position quote_ident quote_literal quote_nullable regexp_count
regexp_instr regexp_like regexp_match regexp_matches regexp_replace
regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse right
rpad rtrim sha224 sha256 sha384 sha512 similar_to_escape split_part starts_with
string_to_array string_to_table strpos substr substring text to_ascii to_bin to_hex
to_oct translate trim unistr upper xmlserialize
"""
TIMES = """
age clock_timestamp date date_add date_bin date_part date_subtract date_trunc extract
isfinite justify_days justify_hours justify_interval make_date make_interval make_time
make_timestamp make_timestamptz now overlaps statement_timestamp time timeofday
timestamp timestamptz timezone to_char to_date to_number to_timestamp
transaction_timestamp
"""
ARRAYS_AND_RANGES = """
array_append array_cat array_dims array_fill array_length array_lower array_ndims
array_position array_positions array_prepend array_remove array_replace array_reverse
array_sample array_shuffle array_sort array_to_json array_to_string array_upper
cardinality daterange generate_series generate_subscripts int4range int8range isempty
lower_inc lower_inf multirange numrange range_merge trim_array tsrange tstzrange unnest
upper_inc upper_inf
"""
DOCUMENTS = """
json_array_elements json_array_elements_text json_array_length json_build_array
json_build_object json_each json_each_text json_extract_path json_extract_path_text
json_object json_object_keys json_populate_record json_populate_recordset
json_strip_nulls json_to_record json_to_recordset json_typeof jsonb_array_elements
jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object
jsonb_concat jsonb_each jsonb_each_text jsonb_extract_path jsonb_extract_path_text
jsonb_insert jsonb_object jsonb_object_keys jsonb_path_exists jsonb_path_match
jsonb_path_query jsonb_path_query_array jsonb_path_query_first jsonb_populate_record
jsonb_populate_recordset jsonb_pretty jsonb_set jsonb_set_lax jsonb_strip_nulls
jsonb_to_record jsonb_to_recordset jsonb_typeof row_to_json to_json to_jsonb xmlagg
"""
TEXT_SEARCH = """
phraseto_tsquery plainto_tsquery setweight strip to_tsquery to_tsvector ts_headline
ts_rank ts_rank_cd tsvector_to_array websearch_to_tsquery
"""
OTHERS = """
broadcast col_description family format_type gen_random_uuid greatest host hostmask
has_column_privilege has_schema_privilege has_table_privilege inet_merge least masklen
netmask network num_nonnulls num_nulls obj_description pg_column_size
pg_encoding_to_char pg_get_constraintdef pg_get_expr pg_get_indexdef pg_get_userbyid
pg_get_viewdef pg_sleep pg_table_is_visible pg_type_is_visible pg_typeof
shobj_description to_regclass
to_regnamespace to_regproc to_regtype uuid_extract_timestamp uuid_extract_version
uuidv4 uuidv7 version
"""

READ_FUNCTIONS = frozenset(
    " ".join(
        (
            AGGREGATES,
            WINDOW_FUNCTIONS,
            MATHEMATICS,
            STRINGS,
            TIMES,
            ARRAYS_AND_RANGES,
            DOCUMENTS,
            TEXT_SEARCH,
            OTHERS,
        )
    ).split()
)

READ_OPERATORS = frozenset(
    """
    = <> != < > <= >= + - * / % ^ || ~ ~* !~ !~* ~~ ~~* !~~ !~~* ~<~ ~<=~ ~>=~ ~>~ ^@
    & | # << >> |/ ||/ @ @> <@ && -> ->> #> #>> #- ? ?| ?& @? @@ @@@ -|- &< &> !! <->
    <<= >>= <<| |>> &<| |&> BETWEEN
    """.split()
) | {"NOT BETWEEN", "BETWEEN SYMMETRIC", "NOT BETWEEN SYMMETRIC"}

# Functions whose effect persists in the session, so that a pooled connection would
# leak it to another caller, or whose result comes from another caller's session.
SESSION_FUNCTIONS = frozenset(
    """
    currval lastval pg_advisory_lock pg_advisory_lock_shared pg_advisory_unlock
    pg_advisory_unlock_all pg_advisory_unlock_shared pg_listening_channels pg_notify
    pg_try_advisory_lock pg_try_advisory_lock_shared setseed pg_backend_pid
    """.split()
)
# Functions with which the proxy controls the database group.
RESERVED_FUNCTION_PREFIX = "ebonyrack_"
