// Package object is the client of the platform's object store. It uses the S3 API.
//
// # Usage
//
//	store := object.Dial(object.Options{URL: url, Bucket: "checkpoints"})
//	err := store.Put(ctx, "job/3/1", data)
//	data, err := store.Get(ctx, "job/3/1")
package object

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/rotisserie/eris"
)

// Limits of a call. An attempt is one HTTP request.
const (
	attemptTimeout = 5 * time.Second
	callTimeout    = 15 * time.Second
	maxAttempts    = 3
	maxObjectBytes = 64 << 20
)

// ErrTooLarge says that an object is larger than the limit of 64 MiB.
var ErrTooLarge = eris.New("the object is larger than 64 MiB")

// ErrNotFound says that the object does not exist.
var ErrNotFound = eris.New("no such object")

// Options names a bucket and how to connect to it. An empty URL stands for the
// default endpoint of the region.
type Options struct {
	URL       string
	Region    string
	Bucket    string
	AccessKey string
	SecretKey string
}

// Store is a bucket of the object store.
type Store struct {
	// Put writes a whole object.
	Put func(ctx context.Context, key string, data []byte) error
	// Get reads a whole object. Its errors include ErrNotFound and ErrTooLarge.
	Get func(ctx context.Context, key string) ([]byte, error)
}

type bucket struct {
	client *s3.Client
	name   string
}

// Dial returns a store that is accessed through the S3 API. It connects on first
// use.
func Dial(o Options) *Store {
	options := s3.Options{
		Region:                     o.Region,
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		Credentials:                credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		Retryer: retry.NewStandard(func(r *retry.StandardOptions) {
			r.MaxAttempts = maxAttempts
		}),
		HTTPClient: &http.Client{Timeout: attemptTimeout},
	}
	if o.URL != "" {
		options.BaseEndpoint = aws.String(o.URL)
	}

	b := &bucket{
		client: s3.New(options),
		name:   o.Bucket,
	}

	return &Store{
		Put: b.put,
		Get: b.get,
	}
}

func (b *bucket) put(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	_, err := b.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(b.name),
		Key:    aws.String(key),
		Body:   bytes.NewReader(data),
	})
	if err != nil {
		return fmt.Errorf("put object %s: %w", key, err)
	}

	return nil
}

func (b *bucket) get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	out, err := b.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(b.name),
		Key:    aws.String(key),
	})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, fmt.Errorf("get object %s: %w", key, ErrNotFound)
	}

	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", key, err)
	}
	defer out.Body.Close()

	data, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read object %s: %w", key, err)
	}

	if len(data) > maxObjectBytes {
		return nil, fmt.Errorf("get object %s: %w", key, ErrTooLarge)
	}

	return data, nil
}
