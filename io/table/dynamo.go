package table

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/google/uuid"
)

// Timeouts and retries of a call. An attempt is one HTTP request.
const (
	attemptTimeout = 2 * time.Second
	callTimeout    = 5 * time.Second
	maxAttempts    = 3
	maxBackoff     = 300 * time.Millisecond
	maxIdleConns   = 64
)

// Attribute names of a row, and condition expressions.
const (
	attrPartition = "PartitionKey"
	attrSort      = "SortKey"
	attrVersion   = "Version"
	attrWriteID   = "WriteID"
	attrBody      = "Body"
	attrExpireAt  = "ExpireAt"

	conditionAbsent  = "attribute_not_exists(PartitionKey)"
	conditionVersion = "Version = :v"
	conditionQuery   = "PartitionKey = :p AND SortKey > :s"
)

// Options names a table and how to connect to it. An empty URL stands for the
// default endpoint of the region.
type Options struct {
	URL       string
	Region    string
	Name      string
	AccessKey string
	SecretKey string
}

type dynamo struct {
	client *dynamodb.Client
	name   string
}

// Dial returns a table that is accessed through the DynamoDB API. It connects on
// first use.
func Dial(o Options) *Table {
	options := dynamodb.Options{
		Region:      o.Region,
		Credentials: credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		Retryer: retry.NewStandard(func(r *retry.StandardOptions) {
			r.MaxAttempts = maxAttempts
			r.MaxBackoff = maxBackoff
		}),
		HTTPClient: &http.Client{
			Timeout: attemptTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
	if o.URL != "" {
		options.BaseEndpoint = aws.String(o.URL)
	}

	d := &dynamo{
		client: dynamodb.New(options),
		name:   o.Name,
	}

	return &Table{
		Get:    d.get,
		Query:  d.query,
		Commit: d.commit,
	}
}

func (d *dynamo) get(ctx context.Context, keys []Key) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	request := types.KeysAndAttributes{ConsistentRead: aws.Bool(true)}
	for _, k := range keys {
		request.Keys = append(request.Keys, keyAttributes(k))
	}

	out, err := d.client.BatchGetItem(ctx, &dynamodb.BatchGetItemInput{
		RequestItems: map[string]types.KeysAndAttributes{d.name: request},
	})
	if err != nil {
		return nil, fmt.Errorf("get rows: %w: %w", ErrUnavailable, err)
	}

	if len(out.UnprocessedKeys) > 0 {
		return nil, fmt.Errorf("get rows: some unprocessed: %w", ErrUnavailable)
	}

	return decodeRows(out.Responses[d.name])
}

func (d *dynamo) query(ctx context.Context, partition, after string, limit int32) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	// A sort key must not be empty; a space sorts below every name in use.
	if after == "" {
		after = " "
	}

	out, err := d.client.Query(ctx, &dynamodb.QueryInput{
		TableName:              aws.String(d.name),
		ConsistentRead:         aws.Bool(true),
		Limit:                  aws.Int32(limit),
		KeyConditionExpression: aws.String(conditionQuery),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": &types.AttributeValueMemberS{Value: partition},
			":s": &types.AttributeValueMemberS{Value: after},
		},
	})
	if err != nil {
		return nil, fmt.Errorf("query %s: %w: %w", partition, ErrUnavailable, err)
	}

	return decodeRows(out.Items)
}

func (d *dynamo) commit(ctx context.Context, writes []Write) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	id := uuid.NewString()
	input := &dynamodb.TransactWriteItemsInput{ClientRequestToken: aws.String(id)}

	for _, w := range writes {
		input.TransactItems = append(input.TransactItems, d.transactItem(w, id))
	}

	_, err := d.client.TransactWriteItems(ctx, input)
	if err == nil {
		return nil
	}

	if d.committed(ctx, writes, id) {
		return nil
	}

	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return fmt.Errorf("commit: %w", ErrConflict)
	}

	return fmt.Errorf("commit: %w: %w", ErrUnknown, err)
}

// committed reads one of the written rows back and reports whether it has the
// transaction's id.
func (d *dynamo) committed(ctx context.Context, writes []Write, id string) bool {
	for _, w := range writes {
		if w.Action != ActionPut {
			continue
		}

		found, err := d.get(ctx, []Key{w.Key})

		return err == nil && len(found) == 1 && found[0].WriteID == id
	}

	return false
}

func (d *dynamo) transactItem(w Write, id string) types.TransactWriteItem {
	condition, values := versionCondition(w.Expect)

	switch w.Action {
	case ActionDelete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName:                 aws.String(d.name),
			Key:                       keyAttributes(w.Key),
			ConditionExpression:       condition,
			ExpressionAttributeValues: values,
		}}
	case ActionCheck:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName:                 aws.String(d.name),
			Key:                       keyAttributes(w.Key),
			ConditionExpression:       condition,
			ExpressionAttributeValues: values,
		}}
	default:
		item := keyAttributes(w.Key)
		item[attrVersion] = &types.AttributeValueMemberN{Value: strconv.FormatInt(w.Version, 10)}
		item[attrWriteID] = &types.AttributeValueMemberS{Value: id}
		item[attrBody] = &types.AttributeValueMemberB{Value: w.Body}

		if !w.ExpireAt.IsZero() {
			item[attrExpireAt] = &types.AttributeValueMemberN{Value: strconv.FormatInt(w.ExpireAt.Unix(), 10)}
		}

		return types.TransactWriteItem{Put: &types.Put{
			TableName:                 aws.String(d.name),
			Item:                      item,
			ConditionExpression:       condition,
			ExpressionAttributeValues: values,
		}}
	}
}

func versionCondition(expect int64) (*string, map[string]types.AttributeValue) {
	if expect == 0 {
		return aws.String(conditionAbsent), nil
	}

	return aws.String(conditionVersion), map[string]types.AttributeValue{
		":v": &types.AttributeValueMemberN{Value: strconv.FormatInt(expect, 10)},
	}
}

func keyAttributes(k Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: &types.AttributeValueMemberS{Value: k.Partition},
		attrSort:      &types.AttributeValueMemberS{Value: k.Sort},
	}
}

func decodeRows(items []map[string]types.AttributeValue) ([]Row, error) {
	list := make([]Row, 0, len(items))

	for _, item := range items {
		r, err := decodeRow(item)
		if err != nil {
			return nil, err
		}

		list = append(list, r)
	}

	return list, nil
}

func decodeRow(item map[string]types.AttributeValue) (Row, error) {
	partition, ok1 := item[attrPartition].(*types.AttributeValueMemberS)
	sort, ok2 := item[attrSort].(*types.AttributeValueMemberS)
	version, ok3 := item[attrVersion].(*types.AttributeValueMemberN)
	writeID, ok4 := item[attrWriteID].(*types.AttributeValueMemberS)
	body, ok5 := item[attrBody].(*types.AttributeValueMemberB)

	if !ok1 || !ok2 || !ok3 || !ok4 || !ok5 {
		return Row{}, fmt.Errorf("read row: a missing attribute: %w", ErrUnavailable)
	}

	number, err := strconv.ParseInt(version.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("read row version: %w", err)
	}

	return Row{
		Key: Key{
			Partition: partition.Value,
			Sort:      sort.Value,
		},
		Version: number,
		WriteID: writeID.Value,
		Body:    body.Value,
	}, nil
}
